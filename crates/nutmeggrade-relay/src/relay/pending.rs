//! Logs requests whose clients disconnect before a response.

use std::sync::Arc;

use nutmeggrade_core::prelude::*;

use crate::node::Node;

/// A request without a response; dropping it before [`Self::finish`] logs that the client is gone.
///
/// A client that disconnects cancels its request's task at any await point. Without a log line the
/// request would look like one that was lost with its instance.
#[derive(Debug)]
pub struct PendingRequest {
    node: Arc<Node>,
    request: RequestId,
    arrived_at: Moment,
    /// The endpoint that the request was last sent to.
    pub endpoint: Option<EndpointId>,
    is_finished: bool,
}

impl PendingRequest {
    /// Starts to track a request.
    pub fn new(node: &Arc<Node>, request: &RequestId, arrived_at: Moment) -> Self {
        let request = request.clone();
        Self { node: Arc::clone(node), request, arrived_at, endpoint: None, is_finished: false }
    }

    /// Returns the endpoint's name for a log line, or `-` before the first send.
    pub fn endpoint_name(&self) -> &str {
        self.endpoint.as_ref().map_or("-", |e| e.as_str())
    }

    /// Marks the request as having a response.
    pub fn finish(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let elapsed = self.node.now().since(self.arrived_at);
        self.node.metrics.requests.with_label_values(&["client_gone", "-"]).inc();
        tracing::info!(event = "client_gone", request = %self.request,
            endpoint = self.endpoint_name(), ms = elapsed.as_millis());
    }
}
