//! Opens connections to endpoints.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::dispatch::Health;

use super::{RequestHandler, SendStep};
use crate::reach::{self, Reach};
use crate::relay::exchange::{ConnectError, OpenConnection, open_connection};

impl RequestHandler {
    /// Opens a connection to an endpoint.
    pub(super) async fn connect(
        &self,
        endpoint: &EndpointInfo,
    ) -> Result<OpenConnection, ConnectError> {
        let connection = tokio::select! {
            connection = open_connection(endpoint.address) => connection?,
            () = reach::until_cut_off(&self.node, endpoint) => return Err(ConnectError::CutOff),
        };
        // While the service counts as cut off, nothing that is lost there is evidence of a crash.
        reach::end_cut(&self.node, &endpoint.service);
        Ok(connection)
    }

    /// Retries after the endpoint could not be connected to.
    pub(super) async fn handle_unreachable(
        &mut self,
        endpoint: &EndpointInfo,
        error: &ConnectError,
    ) -> Result<SendStep, Failure> {
        let reach = self.note_unreachable(endpoint, error).await;
        if reach == Reach::CutOff && (self.has_asked_peers || self.request.is_forwarded) {
            return self.finish_cut_off().map(SendStep::Done);
        }
        self.retry_unsent(&endpoint.id, &error.to_string())
    }

    /// Records that the endpoint could not be connected to; returns whether others can be.
    pub(super) async fn note_unreachable(
        &self,
        endpoint: &EndpointInfo,
        error: &ConnectError,
    ) -> Reach {
        self.record_unsent(&endpoint.id, &error.to_string());
        let reach = reach::check(&self.node, endpoint).await;
        if reach == Reach::Reached {
            self.node.update_health(&endpoint.id, Health::record_loss);
            if matches!(error, ConnectError::Refused) {
                self.node.announce_unreachable(&endpoint.id);
            }
        }
        reach
    }
}
