//! Endpoints that have stopped sending.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use crate::Ticket;

/// Time in which an endpoint that sent something to another request of this instance counts as
/// alive. A request that waits longer than its limit beside it waits for its turn there.
const ALIVE_TIME: Duration = Duration::from_millis(500);

/// Longest silences of an endpoint towards a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceLimits {
    /// From the send to the first event.
    pub first: Duration,
    /// Between two events.
    pub gap: Duration,
}

#[derive(Debug, Clone)]
struct OpenRequest {
    endpoint: EndpointId,
    limits: SilenceLimits,
    has_events: bool,
    /// When the endpoint last sent something, or when the request was sent.
    last_sign: Moment,
}

impl OpenRequest {
    fn is_silent(&self, now: Moment) -> bool {
        let limit = if self.has_events { self.limits.gap } else { self.limits.first };
        now.since(self.last_sign) > limit
    }
}

/// Finds endpoints that keep connections open and send nothing, by the requests that this instance
/// has at them.
///
/// Such an endpoint accepts requests, passes its health check and frees no capacity, so that by its
/// load it looks like any other. Each request sent to it was lost when its client gave up after
/// four times the target.
#[derive(Debug, Default)]
pub struct StallWatch {
    requests: BTreeMap<Ticket, OpenRequest>,
}

impl StallWatch {
    /// Creates a watch without requests.
    pub const fn new() -> Self {
        Self { requests: BTreeMap::new() }
    }

    /// Records that a request is sent to an endpoint.
    pub fn begin(
        &mut self,
        ticket: Ticket,
        endpoint: &EndpointId,
        limits: SilenceLimits,
        now: Moment,
    ) {
        let endpoint = endpoint.clone();
        let request = OpenRequest { endpoint, limits, has_events: false, last_sign: now };
        self.requests.insert(ticket, request);
    }

    /// Records that the endpoint sent an event of a request's stream.
    pub fn record_event(&mut self, ticket: Ticket, now: Moment) {
        if let Some(request) = self.requests.get_mut(&ticket) {
            request.has_events = true;
            request.last_sign = now;
        }
    }

    /// Removes a request that has left its endpoint.
    pub fn end(&mut self, ticket: Ticket) {
        self.requests.remove(&ticket);
    }

    /// Returns when an endpoint last sent something to a request that this instance has there.
    pub fn last_sign(&self, endpoint: &EndpointId) -> Option<Moment> {
        let here = self.requests.values().filter(|r| r.has_events && r.endpoint == *endpoint);
        here.map(|request| request.last_sign).max()
    }

    /// Returns whether an endpoint lately sent something to a request of this instance.
    pub fn is_alive(&self, endpoint: &EndpointId, now: Moment) -> bool {
        self.last_sign(endpoint).is_some_and(|at| now.since(at) <= ALIVE_TIME)
    }

    /// Returns the endpoints that have been silent towards some request for longer than its limit,
    /// and towards all others of this instance lately.
    pub fn stalled(&self, now: Moment) -> BTreeSet<EndpointId> {
        let silent = self.requests.values().filter(|request| request.is_silent(now));
        let mut stalled: BTreeSet<EndpointId> = silent.map(|r| r.endpoint.clone()).collect();
        stalled.retain(|endpoint| !self.is_alive(endpoint, now));
        stalled
    }
}
