//! Refuses requests that are expected to outlast an instance that is stopping.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{Prompt, Route};

use super::client_request::ClientRequest;
use crate::node::{Node, Phase};
use crate::tables::lock;

/// `Retry-After` of a request that another instance can serve at once.
const OTHER_INSTANCE_DELAY: Duration = Duration::from_millis(20);

/// Refuses a request that is expected to outlast this instance.
///
/// Its response would be cut off at shutdown, and a client may not repeat a request that ran.
pub fn check(node: &Node, route: &Route, prompt: Option<&Prompt>) -> Result<(), Failure> {
    let Some(time_left) = node.time_until_end() else { return Ok(()) };
    if expected_time(node, route, prompt) < time_left {
        return Ok(());
    }
    let detail = format!("this instance ends in {} ms; use another", time_left.as_millis());
    Err(Failure::new(Code::Leaving, &detail).with_retry_after(OTHER_INSTANCE_DELAY))
}

/// Completes with the refusal of a request that was not sent yet, once it is expected to outlast
/// this instance.
pub async fn until_too_late(node: &Node, request: &ClientRequest) -> Failure {
    let mut phases = node.phases();
    let is_stopping = phases.wait_for(|phase| *phase >= Phase::Leaving).await.is_ok();
    if !is_stopping {
        // The sender lives as long as the node, so this isn't reached.
        std::future::pending::<()>().await;
    }
    loop {
        if let Err(failure) = check(node, &request.route, request.prompt.as_ref()) {
            return failure;
        }
        let expected = expected_time(node, &request.route, request.prompt.as_ref());
        let spare = node.time_until_end().unwrap_or_default().saturating_sub(expected);
        tokio::time::sleep(spare).await;
    }
}

/// Returns the time within which a response probably ends.
fn expected_time(node: &Node, route: &Route, prompt: Option<&Prompt>) -> Duration {
    match prompt {
        Some(prompt) => lock(&node.tables).pace.time(prompt.expected(), prompt.max_tokens),
        None => route.target,
    }
}
