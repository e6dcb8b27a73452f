//! Reserves room for a request at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{DispatchRequest, Refusal, RefusalReason};

use super::client_request::ClientRequest;
use crate::node::Node;
use crate::tables::lock;

/// Longest wait for room, as a multiple of the route's target time. Clients abandon a stream that
/// has not started after four times the target.
const MAX_WAIT_TARGETS: f64 = 3.0;
/// Longest wait for room, as a share of the time left; the rest is for the response.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Room for a request at an endpoint; released on drop.
#[derive(Debug)]
pub struct Reservation {
    node: Arc<Node>,
    /// Identifies the reservation in the load table.
    pub ticket: Ticket,
    /// The endpoint.
    pub endpoint: EndpointInfo,
    /// Whether the request has been counted against a rate limit of the endpoint.
    pub has_turn: bool,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut tables = lock(&self.node.tables);
        tables.dispatcher.load_table.end(self.ticket);
        tables.running.end(self.ticket.0);
        tables.stalls.end(self.ticket);
        tables.release(now);
        self.node.placed.notify_one();
    }
}

/// Removes a waiting request from the queue on drop, as when its client disconnects.
struct QueueGuard<'a> {
    node: &'a Arc<Node>,
    dispatch_request: &'a DispatchRequest,
    is_done: bool,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            lock(&self.node.tables).cancel_wait(self.dispatch_request);
        }
    }
}

/// Reserves room for a request, waiting in the queue if necessary.
///
/// # Errors
///
/// Fails with a retry delay if no endpoint has room soon enough.
pub async fn reserve(
    node: &Arc<Node>,
    request: &ClientRequest,
    dispatch_request: &DispatchRequest,
) -> Result<Reservation, Failure> {
    reserve_since(node, request, dispatch_request, node.now()).await
}

/// Reserves room like [`reserve`] for a request that has waited for it since `queued_at`.
///
/// # Errors
///
/// Fails with a retry delay if no endpoint has room soon enough.
pub async fn reserve_since(
    node: &Arc<Node>,
    request: &ClientRequest,
    dispatch_request: &DispatchRequest,
    queued_at: Moment,
) -> Result<Reservation, Failure> {
    let started_at = node.now();
    let max_wait = request
        .route
        .target
        .mul_f64(MAX_WAIT_TARGETS)
        .min(request.time_left(queued_at).mul_f64(MAX_WAIT_SHARE));
    let max_wait = queued_at.after(max_wait).since(started_at);
    let placement = lock(&node.tables).request_placement(dispatch_request, max_wait, started_at);
    let mut receiver =
        placement.map_err(|refusal| refuse(node, request, refusal, Duration::ZERO))?;
    let mut queue_guard = QueueGuard { node, dispatch_request, is_done: false };
    let placement = tokio::select! {
        biased;
        placement = &mut receiver => placement.ok(),
        () = node.clock.until(started_at.after(max_wait)) => None,
    };
    let waited = node.now().since(started_at);
    node.metrics.waits.observe(waited.as_secs_f64());
    queue_guard.is_done = true;
    let placement =
        placement.unwrap_or_else(|| Err(lock(&node.tables).time_out(dispatch_request, node.now())));
    let id = placement.map_err(|refusal| refuse(node, request, refusal, waited))?;
    let reservation = claim(node, dispatch_request.ticket, &id);
    log_placement(node, request, dispatch_request, &id, reservation.as_ref(), waited);
    reservation.ok_or_else(|| {
        let delay = lock(&node.tables).dispatcher.draw_retry_delay();
        Failure::new(Code::NoRoom, "the chosen endpoint is gone").with_retry_after(delay)
    })
}

/// Logs and counts a refusal, and returns the failure for the client.
fn refuse(node: &Node, request: &ClientRequest, refusal: Refusal, waited: Duration) -> Failure {
    let reason = refusal.reason.as_str();
    node.metrics.load.refusals.with_label_values(&[reason]).inc();
    tracing::info!(event = "room_refused", request = %request.id, reason,
        waited_ms = waited.as_millis(), forecast_ms = refusal.forecast.map(|f| f.as_millis()),
        ahead = refusal.ahead, back_ms = refusal.delay.as_millis());
    let detail = match refusal.reason {
        RefusalReason::NoEndpoint => "no endpoint can run the request".to_owned(),
        RefusalReason::Forecast => "no endpoint will have room soon enough".to_owned(),
        RefusalReason::Timeout => {
            format!("no endpoint had room within {} ms", waited.as_millis())
        }
        RefusalReason::Hopeless => {
            "no endpoint will have room within the time limit, a retry can't succeed".to_owned()
        }
    };
    Failure::new(Code::NoRoom, &detail).with_retry_after(refusal.delay)
}

/// Logs the chosen endpoint and the basis of the decision: the endpoint's load from all instances
/// including this request, its version, and the versions of the configuration and the endpoint
/// list.
fn log_placement(
    node: &Node,
    request: &ClientRequest,
    dispatch_request: &DispatchRequest,
    endpoint: &EndpointId,
    reservation: Option<&Reservation>,
    waited: Duration,
) {
    let (load, yielded) = {
        let dispatcher = &lock(&node.tables).dispatcher;
        let yielded = dispatcher.order.own.yielded_time(dispatch_request.ticket);
        (dispatcher.load_table.load(endpoint), yielded)
    };
    let version = reservation.map_or("-", |r| r.endpoint.version_name());
    let resumes = request.resumes.as_ref().map_or("-", RequestId::as_str);
    tracing::info!(event = "placed", request = %request.id, endpoint = %endpoint, version, resumes,
        canary = dispatch_request.is_canary, waited_ms = waited.as_millis(),
        yielded_ms = yielded.as_millis(),
        requests = load.requests, memory = load.memory, prompt = dispatch_request.prompt,
        routed = request.config, config = node.map().version, endpoints = node.revisions().endpoints);
}

/// Claims the room that is booked under a ticket; `None` if the endpoint was removed in the
/// meantime.
pub fn claim(node: &Arc<Node>, ticket: Ticket, id: &EndpointId) -> Option<Reservation> {
    let (endpoint, has_turn) = {
        let tables = &mut *lock(&node.tables);
        let Some(entry) = tables.registry.get(id) else {
            tables.dispatcher.load_table.end(ticket);
            return None;
        };
        (entry.info.clone(), tables.rate_shares.contains_key(id))
    };
    node.placed.notify_one();
    Some(Reservation { node: Arc::clone(node), ticket, endpoint, has_turn })
}
