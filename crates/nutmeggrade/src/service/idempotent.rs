//! Calls that may be repeated.

use std::collections::BTreeSet;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;

use super::replica::{Attempt, attempt};
use super::{Answer, Call};
use crate::node::Node;
use crate::tables::lock;

/// Replicas that one call is tried on.
const ATTEMPTS: u32 = 3;

/// Runs a call that may be repeated on up to three replicas.
pub async fn run_idempotent<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
) -> Result<Answer, Failure> {
    let mut avoid = BTreeSet::new();
    let mut run = Run::NotRun;
    let mut last = String::new();
    lock(&node.tables.retries).fresh();
    for number in 1..=ATTEMPTS {
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
        let again = number < ATTEMPTS && node.may_retry(number, call.caller.deadline).await;
        if !again {
            break;
        }
    }
    let late = call.caller.deadline <= node.now();
    let code = if late { Code::DeadlinePassed } else { Code::EndpointFailed };
    let failure = Failure::new(code, &last).with_run(run);
    Err(failure.with_retry_after(node.settings.silence))
}
