//! A request that is to be served.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use nutmeggrade_core::peer::Fingerprint;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EventPosition, Prompt, Route};
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::Need;

/// Rank of requests whose route or workspace has a rank that engines don't know.
const LAST_RANK: u8 = 9;

/// Part of the time that users are content with in which a request may wait for room; the rest is
/// for the answer's beginning.
const FRESH: f64 = 0.8;

/// A request that is to be served.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of the client's attempt.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub target: Uri,
    /// The client's headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: ServiceId,
    /// The workspace that its key belongs to.
    pub workspace: Option<WorkspaceId>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Tells requests with the same content apart from others.
    pub fingerprint: Fingerprint,
    /// Its prompt.
    pub prompt: Option<Prompt>,
    /// The last event that the client has.
    pub position: Option<EventPosition>,
    /// When it came.
    pub arrived: Moment,
    /// When its client or its route gives it up.
    pub deadline: Moment,
}

impl Call {
    /// Returns what the request takes of an endpoint.
    pub fn need(&self, ticket: Ticket, keyless_workspace: &WorkspaceId) -> Need {
        let prompt = self.prompt.as_ref();
        Need {
            ticket,
            workspace: self.workspace.as_ref().unwrap_or(keyless_workspace).clone(),
            service: self.service.clone(),
            priority: self.priority,
            prompt: prompt.map_or(0, |p| p.tokens),
            memory: prompt.map_or(0, |p| p.tokens + p.expected()),
            avoid: std::collections::BTreeSet::new(),
            fresh_until: self.arrived.after(self.route.target.mul_f64(FRESH)),
            from: None,
            is_canary: false,
        }
    }

    /// Returns the rank that engines are told, if the request goes to one.
    pub fn engine_rank(&self) -> Option<u8> {
        self.prompt.as_ref().map(|_| self.priority.min(LAST_RANK))
    }

    /// Returns how long the request is waited for.
    pub fn left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }
}
