//! Calls that may be repeated.

use std::collections::BTreeSet;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;

use super::replica::{Attempt, attempt};
use super::{Answer, Call};
use crate::node::Node;

/// Replicas that one call is tried on.
const ATTEMPTS: usize = 3;

/// Runs a call that may be repeated on up to three replicas.
pub async fn run_idempotent<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
) -> Result<Answer, Failure> {
    let mut avoid = BTreeSet::new();
    let mut run = Run::NotRun;
    let mut last = String::new();
    for _ in 0..ATTEMPTS {
        match attempt(node, call, &mut avoid).await {
            Ok(Attempt::Answered(answer)) => return Ok(answer),
            Ok(Attempt::NotRun(why)) => last = why,
            Ok(Attempt::Lost(why)) => {
                run = Run::Unknown;
                last = why;
            }
            Err(failure) if last.is_empty() => return Err(failure),
            Err(_) => break,
        }
        if call.caller.deadline <= node.now() {
            break;
        }
        node.metrics.retries.inc();
    }
    let late = call.caller.deadline <= node.now();
    let code = if late { Code::DeadlinePassed } else { Code::EndpointFailed };
    let failure = Failure::new(code, &last).with_run(run);
    Err(failure.with_retry_after(node.settings.silence))
}
