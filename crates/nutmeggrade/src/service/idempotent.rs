//! Idempotent calls.

use std::collections::BTreeSet;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;

use super::replica::{AttemptResult, attempt};
use super::{Call, ServiceResponse};
use crate::node::Node;
use crate::tables::lock;

/// Maximum number of replicas tried for one call.
const MAX_ATTEMPTS: u32 = 3;

/// Runs an idempotent call on up to three replicas.
pub async fn run_idempotent<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
) -> Result<ServiceResponse, Failure> {
    let mut avoid = BTreeSet::new();
    let mut run = RunStatus::NotRun;
    let mut last_reason = String::new();
    lock(&node.tables.retries).fresh();
    for attempt_number in 1..=MAX_ATTEMPTS {
        match attempt(node, call, &mut avoid).await {
            Ok(AttemptResult::Answered(response)) => return Ok(response),
            Ok(AttemptResult::NotRun(reason)) => last_reason = reason,
            Ok(AttemptResult::Lost(reason)) => {
                run = RunStatus::Unknown;
                last_reason = reason;
            }
            Err(failure) if last_reason.is_empty() => return Err(failure),
            Err(_) => break,
        }
        let can_retry = attempt_number < MAX_ATTEMPTS
            && node.wait_for_retry(attempt_number, call.caller.deadline).await;
        if !can_retry {
            break;
        }
    }
    let is_late = call.caller.deadline <= node.now();
    let code = if is_late { Code::DeadlinePassed } else { Code::EndpointFailed };
    let failure = Failure::new(code, &last_reason).with_run(run);
    Err(failure.with_retry_after(node.settings.silence))
}
