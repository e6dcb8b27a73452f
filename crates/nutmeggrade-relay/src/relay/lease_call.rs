//! Requests leases on the capacity of engines.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EndpointInfo, EngineSpec};
use nutmeggrade_policy::dispatch::{DispatchRequest, HoldDecision, HoldPolicy, HoldQuery};
use nutmeggrade_wire::engine::HoldOutcome;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::client_request::ClientRequest;
use super::lease::Lease;
use super::lease_result::LeaseResult;
use crate::engine_call;
use crate::node::Node;
use crate::tables::lock;

/// Time for an engine's answer, after which the request is sent without a lease.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a late answer is awaited, to release the lease in it.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for another request's call to the same engine, of which each takes milliseconds.
const MAX_CALL_WAIT: Duration = Duration::from_millis(100);

/// A call for a lease on an engine's capacity.
struct LeaseCall {
    node: Arc<Node>,
    endpoint: EndpointInfo,
    priority: u8,
    tokens: u64,
    ttl: Duration,
}

/// Requests a lease for a placed request, if its engine is under pressure.
///
/// The call is no send of the request: it runs nothing, so that its loss is no evidence against the
/// request and uses up no attempt.
pub async fn request(
    node: &Arc<Node>,
    request: &ClientRequest,
    dispatch_request: &DispatchRequest,
    endpoint: &EndpointInfo,
) -> LeaseResult {
    let result = acquire(node, request, dispatch_request, endpoint).await;
    if matches!(result, LeaseResult::Full) {
        tracing::info!(event = "send", request = %request.id, endpoint = %endpoint.id,
            end = "not_sent", lease = "full");
    }
    result
}

async fn acquire(
    node: &Arc<Node>,
    request: &ClientRequest,
    dispatch_request: &DispatchRequest,
    endpoint: &EndpointInfo,
) -> LeaseResult {
    let engine = node.map().service(&endpoint.service).and_then(|s| s.engine);
    let Some(engine) = engine.filter(|_| node.settings().leases) else {
        return LeaseResult::Unasked;
    };
    let give_up_at = node.now().after(MAX_CALL_WAIT);
    // Before the decision, so that a call that ends between both is noticed.
    let mut ended_calls = node.lease_calls.subscribe();
    let ttl = loop {
        match decide(node, request, dispatch_request, endpoint, &engine) {
            HoldDecision::Send => return LeaseResult::Unasked,
            HoldDecision::Take(ttl) => break ttl,
            HoldDecision::Full => return LeaseResult::Full,
            HoldDecision::Wait => {}
        }
        tokio::select! {
            _ = ended_calls.changed() => {}
            () = node.clock.until(give_up_at) => return LeaseResult::Unasked,
        }
    };
    let call = LeaseCall {
        node: Arc::clone(node),
        endpoint: endpoint.clone(),
        priority: dispatch_request.priority,
        tokens: dispatch_request.memory,
        ttl,
    };
    let (sender, receiver) = oneshot::channel();
    // In a task of its own, since a lease that is granted after the client disconnected has to be
    // released.
    tokio::spawn(call.run(sender));
    receiver.await.unwrap_or(LeaseResult::Failed)
}

/// Decides whether to request a lease; if so, records that the call begins.
fn decide(
    node: &Node,
    request: &ClientRequest,
    dispatch_request: &DispatchRequest,
    endpoint: &EndpointInfo,
    engine: &EngineSpec,
) -> HoldDecision {
    let now = node.now();
    let tables = &mut *lock(&node.tables);
    let query = HoldQuery {
        request: dispatch_request,
        kind: request.route.kind,
        endpoint: &endpoint.id,
        engine,
        committed: tables.dispatcher.load_table.load(&endpoint.id).memory,
    };
    let decision = tables.dispatcher.holds.decide(&query, now);
    if let HoldDecision::Take(_) = decision {
        if !tables.take_lease_call(&endpoint.id, now) {
            return HoldDecision::Send;
        }
        tables.dispatcher.holds.begin_call(&endpoint.id);
    }
    decision
}

impl LeaseCall {
    /// Calls the engine and delivers the result. If nobody waits for it any more, a lease is
    /// released.
    async fn run(self, sender: oneshot::Sender<LeaseResult>) {
        let Self { node, endpoint, tokens, ttl, .. } = &self;
        let expires_at = node.now().after(*ttl);
        let answer = engine_call::take_hold(node, endpoint, *tokens, *ttl, LATE_ANSWER_TIMEOUT);
        let mut answer = Box::pin(answer);
        let in_time = timeout(ANSWER_TIMEOUT, &mut answer).await;
        let is_late = in_time.is_err();
        let lease = |id: &str| Lease::new(node, endpoint, id, expires_at);
        let result = match in_time {
            Ok(Ok(HoldOutcome::Granted(id))) => {
                self.end(HoldPolicy::record_granted);
                LeaseResult::Granted(lease(&id))
            }
            Ok(Ok(HoldOutcome::Full)) => {
                let now = node.now();
                self.end(|holds, id| holds.record_full(id, self.priority, now));
                node.metrics.load.holds.with_label_values(&["full"]).inc();
                LeaseResult::Full
            }
            Ok(Ok(HoldOutcome::Failed(status))) => self.fail(status.as_str()),
            Ok(Err(error)) => self.fail(&format!("{error:#}")),
            Err(_) => self.fail("no answer in time"),
        };
        // A lease that can't be delivered is released by its drop.
        drop(sender.send(result));
        if is_late && let Ok(HoldOutcome::Granted(id)) = answer.await {
            drop(lease(&id));
        }
    }

    fn fail(&self, why: &str) -> LeaseResult {
        let now = self.node.now();
        self.end(|holds, id| holds.record_failure(id, now));
        self.node.metrics.load.holds.with_label_values(&["failed"]).inc();
        tracing::info!(event = "lease_failed", endpoint = %self.endpoint.id, why);
        LeaseResult::Failed
    }

    /// Records the end of the call, and wakes the requests that wait for it.
    fn end(&self, record: impl FnOnce(&mut HoldPolicy, &EndpointId)) {
        record(&mut lock(&self.node.tables).dispatcher.holds, &self.endpoint.id);
        self.node.lease_calls.send_modify(|count| *count += 1);
    }
}
