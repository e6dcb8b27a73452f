//! A client's request after it was read and routed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use nutmeggrade_core::peer::{RequestSuspects, StreamKey};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EventPosition, Prompt, PromptPart, Route};
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{DispatchRequest, SilenceLimits};

use crate::intake::ConnectionMemory;

/// Lowest priority that engines accept; requests of lower priority are sent with this one.
const LOWEST_ENGINE_PRIORITY: u8 = 9;

/// While an idempotent request may still be sent elsewhere, an endpoint gets the time left divided
/// by this.
const ATTEMPT_TIME_DIVISOR: u32 = 3;
/// Share of the route's target time that a request may spend in the queue and still meet the
/// target; the rest is for the start of the response.
const FRESH_SHARE: f64 = 0.8;

/// Longest silence of an engine between two events of a stream, as a multiple of the route's limit for
/// gaps. Clients abandon the stream after eight times the limit.
const SILENCE_GAPS: u32 = 4;
/// Shortest silence that counts as a stall: copying a generation pauses its stream for some hundred
/// milliseconds.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// A client's request with its route, service and deadline.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Id of the client's attempt.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub uri: Uri,
    /// The client's headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// What the client's connection holds.
    pub memory: ConnectionMemory,
    /// The route that matches host and path.
    pub route: Arc<Route>,
    /// Version of the configuration that routed the request; 0 if a peer routed it.
    pub config: u64,
    /// The service selected from the route's splits.
    pub service: ServiceId,
    /// The workspace that the client's key belongs to; `None` without a known key.
    pub workspace: Option<WorkspaceId>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// All that the request has that may crash endpoints.
    pub suspects: Arc<RequestSuspects>,
    /// The prompt, if the request carries one.
    pub prompt: Option<Prompt>,
    /// The last event that the client has received.
    pub position: Option<EventPosition>,
    /// The attempt that brought the first event of the stream that the client resumes.
    pub resumes: Option<RequestId>,
    /// When the request arrived.
    pub arrived_at: Moment,
    /// When the timeout of the client or the route ends.
    pub deadline: Moment,
    /// Whether a peer forwards the request for one of its clients.
    pub is_forwarded: bool,
}

impl ClientRequest {
    /// Creates the dispatcher's request. A client request without a key counts towards the
    /// workspace `anonymous`.
    pub fn dispatch_request(&self, ticket: Ticket, anonymous: &WorkspaceId) -> DispatchRequest {
        let prompt = self.prompt.as_ref();
        DispatchRequest {
            ticket,
            workspace: self.workspace.as_ref().unwrap_or(anonymous).clone(),
            service: self.service.clone(),
            priority: self.priority,
            prompt: prompt.map_or(0, |p| p.tokens),
            memory: prompt.map_or(0, |p| p.tokens + p.expected()),
            avoid: std::collections::BTreeSet::new(),
            start_deadline: self.arrived_at.after(self.route.target.mul_f64(FRESH_SHARE)),
            deadline: self.deadline,
            from: None,
            version: None,
            is_canary: false,
        }
    }

    /// Returns the priority to send to an engine, or `None` for requests without a prompt.
    pub fn engine_priority(&self) -> Option<u8> {
        self.prompt.as_ref().map(|_| self.priority.min(LOWEST_ENGINE_PRIORITY))
    }

    /// Returns the key of the stream that the request begins or takes up; `None` if the client doesn't
    /// say which one it takes up.
    pub fn stream_key(&self) -> Option<StreamKey> {
        let attempt = if self.position.is_some() { self.resumes.as_ref()? } else { &self.id };
        Some(StreamKey::new(self.workspace.as_ref(), attempt))
    }

    /// Returns the parts of the prompt that other requests may have too.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt.as_ref().map_or(&[], Prompt::shared_parts)
    }

    /// Returns after which silence an engine that runs the request has probably stopped sending.
    pub fn silence_limits(&self) -> SilenceLimits {
        SilenceLimits {
            first: self.route.target.max(MIN_SILENCE),
            gap: self.route.gap.saturating_mul(SILENCE_GAPS).max(MIN_SILENCE),
        }
    }

    /// Returns the time to wait for the response to an idempotent request, before another endpoint is
    /// looked for.
    pub fn resend_delay(&self, now: Moment) -> Duration {
        self.route.target.max(self.time_left(now) / ATTEMPT_TIME_DIVISOR)
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }
}
