//! Binds requests that take up a stream to the version that began it.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RouteKind;

use super::handler::RequestHandler;
use crate::stream_origin::{self, StreamOrigin};
use crate::tables::lock;

impl RequestHandler {
    /// Binds a request that takes up a stream to the version at which the stream began.
    ///
    /// # Errors
    ///
    /// Fails at once if that version is not known or serves no longer: what another one writes doesn't
    /// fit, and the client may begin again.
    pub async fn bind_version(&mut self) -> Result<(), Failure> {
        let request = &self.request;
        if request.route.kind != RouteKind::Resumable || request.position.is_none() {
            return Ok(());
        }
        let origin = stream_origin::find(&self.node, request.stream_key(), &request.service).await;
        let version = match origin {
            StreamOrigin::Version(version) | StreamOrigin::Only(Some(version)) => version,
            StreamOrigin::Only(None) => return Ok(()),
            StreamOrigin::Ambiguous => {
                let detail = "it isn't known at which version the stream began";
                return Err(Failure::new(Code::StreamEnded, detail));
            }
        };
        if lock(&self.node.tables).registry.lacks_version(&request.service, &version) {
            let detail = format!("the stream began at version {version}, which serves no longer");
            return Err(Failure::new(Code::StreamEnded, &detail));
        }
        self.dispatch_request.version = Some(version);
        Ok(())
    }
}
