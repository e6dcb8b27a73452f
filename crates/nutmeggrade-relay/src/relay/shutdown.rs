//! Refuses requests that may outlast an instance that is stopping.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{Prompt, Route, RouteKind};

use super::client_request::ClientRequest;
use crate::node::{Node, Phase};
use crate::tables::lock;

/// `Retry-After` of a request that another instance can serve at once.
const OTHER_INSTANCE_DELAY: Duration = Duration::from_millis(20);
/// Time for which a sound endpoint may be silent, in addition to the time that a response usually takes.
const SILENCE_ALLOWANCE: Duration = Duration::from_secs(2);
/// Shortest interval between two checks of a request that waits.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Refuses a request that may outlast this instance.
///
/// Its response would be cut off at shutdown, and a client may not repeat a request that ran.
pub fn check(
    node: &Node,
    route: &Route,
    prompt: Option<&Prompt>,
    deadline: Moment,
) -> Result<(), Failure> {
    let Some(time_left) = node.time_until_end() else { return Ok(()) };
    if time_needed(node, route, prompt, deadline) < time_left {
        return Ok(());
    }
    Err(refusal(node))
}

/// Returns the refusal of a request that did not run.
pub fn refusal(node: &Node) -> Failure {
    let time_left = node.time_until_end().unwrap_or_default();
    let detail = format!("this instance ends in {} ms; use another", time_left.as_millis());
    // Without another instance, a request that comes back before the end is refused again.
    let delay = if has_serving_peers(node) { OTHER_INSTANCE_DELAY } else { time_left };
    Failure::new(Code::Leaving, &detail).with_retry_after(delay.max(OTHER_INSTANCE_DELAY))
}

/// Refuses a request that was read and may outlast this instance.
pub fn check_request(node: &Node, request: &ClientRequest) -> Result<(), Failure> {
    check(node, &request.route, request.prompt.as_ref(), request.deadline)
}

/// Returns whether a response that is passed on as it comes may be cut at the end of this instance, although
/// its client could get a failure. Other kinds of requests are accepted by their deadline.
pub fn holds_response(node: &Node, request: &ClientRequest) -> bool {
    let is_accepted_by_estimate = request.route.kind == RouteKind::Idempotent;
    let time_left = node.time_until_end().filter(|_| is_accepted_by_estimate);
    time_left.is_some_and(|time_left| request.deadline.since(node.now()) >= time_left)
}

/// Completes with the refusal of a request that was not sent yet, once it may outlast this instance.
pub async fn until_too_late(node: &Node, request: &ClientRequest) -> Failure {
    let mut phases = node.phases();
    let is_stopping = phases.wait_for(|phase| *phase >= Phase::Leaving).await.is_ok();
    if !is_stopping {
        // The sender lives as long as the node, so this isn't reached.
        std::future::pending::<()>().await;
    }
    loop {
        if let Err(failure) = check_request(node, request) {
            return failure;
        }
        let needed = time_needed(node, &request.route, request.prompt.as_ref(), request.deadline);
        let spare = node.time_until_end().unwrap_or_default().saturating_sub(needed);
        tokio::time::sleep(spare.max(MIN_CHECK_INTERVAL)).await;
    }
}

/// Completes when the process is about to end. A request without a response gets a failure then: its
/// client's connection would close without an answer.
pub async fn until_end(node: &Node) {
    if node.phases().wait_for(|phase| *phase >= Phase::Ending).await.is_err() {
        // The sender lives as long as the node, so this isn't reached.
        std::future::pending::<()>().await;
    }
}

fn has_serving_peers(node: &Node) -> bool {
    lock(&node.tables).fleet.serving_counts(node.now()).1 > 0
}

/// Returns the time that this instance must have left to accept a request.
///
/// It is the time until the deadline, since nothing else bounds how long an endpoint may take. Only a
/// repeatable request that is no stream goes by the usual time if no other instance can take it, as it gets
/// a failure at the end.
fn time_needed(node: &Node, route: &Route, prompt: Option<&Prompt>, deadline: Moment) -> Duration {
    let longest = deadline.since(node.now());
    if route.kind != RouteKind::Idempotent || has_serving_peers(node) {
        return longest;
    }
    let expected = match prompt {
        Some(prompt) => {
            let pace = lock(&node.tables).pace;
            pace.time(prompt.tokens, prompt.expected(), prompt.max_tokens)
        }
        None => route.target,
    };
    longest.min(expected + SILENCE_ALLOWANCE)
}
