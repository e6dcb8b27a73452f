//! Requests that have no complete response yet.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use nutmeggrade_core::prelude::*;

use crate::clock::Clock;
use crate::node::Node;
use crate::tables::lock;

/// Requests named in the log of a stop that cuts them off.
const MAX_LOGGED: usize = 64;

/// State of a request that has no complete response yet.
#[derive(Debug, Clone)]
struct OpenRequest {
    id: RequestId,
    route: String,
    arrived_at: Moment,
    /// The endpoint that the request was last sent to.
    endpoint: Option<EndpointId>,
    /// When that endpoint last sent something, or when the request was sent to it.
    last_sign: Option<Moment>,
}

/// The requests of this instance that have no complete response yet.
///
/// A stop that cuts a request off leaves no other trace of it: the task that serves it ends with the
/// process.
#[derive(Debug, Default)]
pub struct OpenRequests {
    requests: Mutex<BTreeMap<u64, OpenRequest>>,
}

impl OpenRequests {
    /// Logs the requests that the end of the process cuts off; returns their number.
    pub fn log_cut(&self, now: Moment) -> usize {
        let requests = lock(&self.requests);
        for request in requests.values().take(MAX_LOGGED) {
            let endpoint = request.endpoint.as_ref().map_or("-", |e| e.as_str());
            tracing::warn!(event = "request_cut", request = %request.id, route = request.route,
                endpoint, ms = now.since(request.arrived_at).as_millis(),
                silent_ms = request.last_sign.map(|at| now.since(at).as_millis()));
        }
        requests.len()
    }
}

/// Entry of a request among those without a complete response, until it is dropped.
#[derive(Debug)]
pub struct OpenEntry {
    all: Arc<OpenRequests>,
    clock: Clock,
    number: u64,
}

impl OpenEntry {
    /// Enters a request.
    pub fn new(node: &Node, id: &RequestId, route: &str, arrived_at: Moment) -> Self {
        let request = OpenRequest {
            id: id.clone(),
            route: route.to_owned(),
            arrived_at,
            endpoint: None,
            last_sign: None,
        };
        let (all, number) = (Arc::clone(&node.open_requests), node.ticket().0);
        lock(&all.requests).insert(number, request);
        Self { all, clock: node.clock, number }
    }

    /// Records that the request is sent to an endpoint.
    pub fn sent(&self, endpoint: &EndpointId) {
        let now = self.clock.now();
        self.change(|request| {
            request.endpoint = Some(endpoint.clone());
            request.last_sign = Some(now);
        });
    }

    /// Records that the endpoint sent a part of the response.
    pub fn received(&self) {
        let now = self.clock.now();
        self.change(|request| request.last_sign = Some(now));
    }

    /// Returns when the endpoint last sent something, or when the request was sent to it.
    pub fn last_sign(&self) -> Option<Moment> {
        lock(&self.all.requests).get(&self.number)?.last_sign
    }

    fn change(&self, change: impl FnOnce(&mut OpenRequest)) {
        if let Some(request) = lock(&self.all.requests).get_mut(&self.number) {
            change(request);
        }
    }
}

impl Drop for OpenEntry {
    fn drop(&mut self) {
        lock(&self.all.requests).remove(&self.number);
    }
}
