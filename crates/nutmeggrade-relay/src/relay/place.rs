//! A request's place at an endpoint.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::DispatchRequest;

use super::call::Call;
use crate::node::Node;
use crate::tables::lock;

/// Longest that a request waits for room, as a multiple of the time that its users are content with.
/// Clients give a stream up that has not begun after four times that.
const MOST_TARGETS: f64 = 3.0;
/// Part of the time left in which a request may wait for room; the rest is for its answer.
const MOST_LEFT: f64 = 0.5;

/// A request's place at an endpoint; given back when it is dropped.
#[derive(Debug)]
pub struct Place {
    node: Arc<Node>,
    /// Names the place.
    pub ticket: Ticket,
    /// The endpoint.
    pub endpoint: EndpointInfo,
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut tables = lock(&self.node.tables);
        tables.dispatcher.book.end(self.ticket);
        tables.release(now);
        self.node.placed.notify_one();
    }
}

/// Takes a request out of the queue if its client leaves while it waits.
struct Waiting<'a> {
    node: &'a Arc<Node>,
    need: &'a DispatchRequest,
    is_over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            lock(&self.node.tables).give_up(self.need);
        }
    }
}

/// Finds a place for a request, waiting for one if it must.
///
/// # Errors
///
/// Fails if there is no room soon enough, with the time to come back.
pub async fn find(node: &Arc<Node>, call: &Call, need: &DispatchRequest) -> Result<Place, Failure> {
    let begun = node.now();
    let patience = call.route.target.mul_f64(MOST_TARGETS).min(call.left(begun).mul_f64(MOST_LEFT));
    let offer = lock(&node.tables).offer(need, patience, begun);
    let mut receiver = offer.map_err(|wait| {
        Failure::new(Code::NoRoom, "no endpoint has room").with_retry_after(wait)
    })?;
    let mut waiting = Waiting { node, need, is_over: false };
    let endpoint = tokio::select! {
        biased;
        chosen = &mut receiver => chosen.ok(),
        () = node.clock.until(begun.after(patience)) => None,
    };
    let waited = node.now().since(begun);
    node.metrics.waits.observe(waited.as_secs_f64());
    waiting.is_over = true;
    let Some(id) = endpoint else {
        let wait = lock(&node.tables).give_up(need);
        let why = format!("no endpoint had room within {} ms", waited.as_millis());
        return Err(Failure::new(Code::NoRoom, &why).with_retry_after(wait));
    };
    let place = take(node, need.ticket, &id);
    log(node, call, need, &id, place.as_ref(), waited);
    place.ok_or_else(|| {
        let wait = lock(&node.tables).dispatcher.draw_retry_delay();
        Failure::new(Code::NoRoom, "the chosen endpoint is gone").with_retry_after(wait)
    })
}

/// Logs where a request goes and what that was decided by: what all instances have placed there, this
/// request with it, the endpoint's version, and those of the configuration and of the endpoints' list.
fn log(
    node: &Node,
    call: &Call,
    need: &DispatchRequest,
    endpoint: &EndpointId,
    place: Option<&Place>,
    waited: Duration,
) {
    let placed = lock(&node.tables).dispatcher.book.at(endpoint);
    let version = place.and_then(|p| p.endpoint.version.as_ref()).map_or("-", VersionId::as_str);
    tracing::info!(event = "placed", request = %call.id, endpoint = %endpoint, version,
        canary = need.is_canary, waited_ms = waited.as_millis(), requests = placed.requests, memory = placed.memory,
        prompt = need.prompt, config = node.map().version, endpoints = node.revisions().endpoints);
}

/// Takes the place that was made for a ticket; `None` if the endpoint is gone meanwhile.
pub fn take(node: &Arc<Node>, ticket: Ticket, id: &EndpointId) -> Option<Place> {
    let Some(endpoint) = node.endpoint(id) else {
        lock(&node.tables).dispatcher.book.end(ticket);
        return None;
    };
    node.placed.notify_one();
    Some(Place { node: Arc::clone(node), ticket, endpoint })
}
