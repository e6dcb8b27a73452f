//! A request that has no answer yet.

use std::sync::Arc;

use nutmeggrade_core::prelude::*;

use crate::node::Node;

/// A request that has no answer yet; says so in the logs if its client leaves before one.
///
/// A client that leaves ends its request's task wherever that stands. Without a line of its own such a
/// request looks like one that was lost with its instance.
#[derive(Debug)]
pub struct Pending {
    node: Arc<Node>,
    request: RequestId,
    arrived: Moment,
    /// The endpoint that it was last sent to.
    pub endpoint: Option<EndpointId>,
    is_over: bool,
}

impl Pending {
    /// Notes a request that arrived at that moment.
    pub fn new(node: &Arc<Node>, request: &RequestId, arrived: Moment) -> Self {
        let request = request.clone();
        Self { node: Arc::clone(node), request, arrived, endpoint: None, is_over: false }
    }

    /// Returns the endpoint's name for a log line.
    pub fn endpoint_name(&self) -> &str {
        self.endpoint.as_ref().map_or("-", |e| e.as_str())
    }

    /// Notes that the client has an answer.
    pub fn end(&mut self) {
        self.is_over = true;
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let took = self.node.now().since(self.arrived);
        self.node.metrics.requests.with_label_values(&["client_gone", "-"]).inc();
        tracing::info!(event = "client_gone", request = %self.request,
            endpoint = self.endpoint_name(), ms = took.as_millis());
    }
}
