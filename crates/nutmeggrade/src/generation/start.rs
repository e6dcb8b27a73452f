//! Starts and resumes generations.

use std::collections::BTreeSet;
use std::sync::Arc;

use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::GenerationRequest;
use tokio::time::sleep;

use super::attempt::{FailedAttempt, attempt};
use super::{
    Completion, ReconnectError, SLOT_RETRY_DELAY, Session, SuspectGuard, admit, reconnect,
};
use crate::caller::Caller;
use crate::node::Node;
use crate::tables::lock;

/// Maximum number of engines tried for one request.
const MAX_ATTEMPTS: u32 = 3;
/// Reconnect attempts when a caller resumes.
const MAX_RECONNECTS: u32 = 3;

/// Starts a generation and waits for its first token.
///
/// Before the first token has reached the caller, the request is retried on another engine as a new
/// generation; afterwards never. The reported run state covers every attempt: a refusal after an
/// attempt that may have run doesn't prove "not run".
pub async fn start<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    completion: &Completion,
    is_long: bool,
) -> Result<Session<P>, Failure> {
    let mut generation_request = admission_request(node, caller, completion, is_long);
    let mut summary = AttemptSummary { count: 0, run: RunStatus::NotRun, reason: String::new() };
    let mut suspect_guard = SuspectGuard::new(node, caller, completion);
    lock(&node.tables.retries).fresh();
    while summary.count < MAX_ATTEMPTS {
        generation_request.ticket = node.ticket();
        let with_run_state = |f: Failure| f.with_run(summary.run);
        suspect_guard.wait_until_allowed(caller.deadline).await.map_err(with_run_state)?;
        let queued_at = node.now();
        let admitted = admit(node, &generation_request).await;
        node.record_admission(&caller.request, &generation_request, queued_at, &admitted);
        let placement = admitted.map_err(with_run_state)?;
        let endpoint = placement.endpoint.clone();
        match attempt(node, caller, completion, placement, suspect_guard).await {
            Ok(session) => {
                let detail = format!("endpoint={endpoint} generation={}", session.generation());
                node.record_step(&caller.request, "first_token", &detail);
                return Ok(session);
            }
            // Nothing was sent: the load or the rights changed since admission.
            Err((failed, guard)) if failed.slot_refused => {
                suspect_guard = guard;
                suspect_guard.release();
                sleep(SLOT_RETRY_DELAY).await;
            }
            Err((failed, guard)) => {
                suspect_guard = guard;
                suspect_guard.release();
                record_failure(node, caller, &endpoint, &failed);
                summary.add(failed);
                generation_request.avoid.insert(endpoint);
                let can_retry = summary.count < MAX_ATTEMPTS;
                if can_retry && !node.wait_for_retry(summary.count, caller.deadline).await {
                    break;
                }
            }
        }
        if caller.deadline <= node.now() {
            break;
        }
    }
    Err(summary.failure(node, caller))
}

/// Combined result of the failed attempts.
struct AttemptSummary {
    count: u32,
    run: RunStatus,
    reason: String,
}

impl AttemptSummary {
    fn add(&mut self, failed: FailedAttempt) {
        self.count += 1;
        self.run = combine_runs(self.run, failed.run);
        self.reason = failed.reason;
    }

    fn failure<P: Platform>(&self, node: &Node<P>, caller: &Caller) -> Failure {
        let is_late = caller.deadline <= node.now();
        let code = if is_late { Code::DeadlinePassed } else { Code::EndpointFailed };
        let detail = format!("no engine brought a first token: {}", self.reason);
        let failure = Failure::new(code, &detail).with_run(self.run);
        failure.with_retry_after(node.settings.silence)
    }
}

fn record_failure<P: Platform>(
    node: &Node<P>,
    caller: &Caller,
    endpoint: &EndpointId,
    failed: &FailedAttempt,
) {
    tracing::warn!(
        event = "attempt_failed",
        request = %caller.request,
        %endpoint,
        run = failed.run.as_str(),
        error = failed.reason
    );
    let detail = format!("endpoint={endpoint} error={}", failed.reason);
    node.record_step(&caller.request, "attempt_failed", &detail);
}

fn admission_request<P: Platform>(
    node: &Node<P>,
    caller: &Caller,
    completion: &Completion,
    is_long: bool,
) -> GenerationRequest {
    GenerationRequest {
        ticket: node.ticket(),
        workspace: caller.workspace.clone(),
        task: caller.task.clone(),
        is_long,
        model: completion.model.clone(),
        prompt: completion.prompt_tokens(),
        max_tokens: completion.max_tokens,
        prefix: completion.prefix(),
        deadline: caller.deadline,
        avoid: BTreeSet::new(),
    }
}

/// Combines the run states of two attempts: "ran" overrides "unknown", which overrides "not run".
fn combine_runs(a: RunStatus, b: RunStatus) -> RunStatus {
    match (a, b) {
        (RunStatus::Ran, _) | (_, RunStatus::Ran) => RunStatus::Ran,
        (RunStatus::Unknown, _) | (_, RunStatus::Unknown) => RunStatus::Unknown,
        (RunStatus::NotRun, RunStatus::NotRun) => RunStatus::NotRun,
    }
}

/// Resumes a generation after the last event that the caller received.
pub async fn resume<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    completion: &Completion,
    last: &EventId,
) -> Result<Session<P>, Failure> {
    let model = &completion.model;
    let gone =
        || Failure::new(Code::GenerationGone, "the generation is gone").with_run(RunStatus::Ran);
    let address = lock(&node.tables.endpoints).address(&last.endpoint).ok_or_else(gone)?;
    let next = last.offset.checked_add(1).ok_or_else(gone)?;
    let session = Session::new(node, caller, model, &last.endpoint, address)
        .with_generation(last.generation, next)
        .with_suspect_guard(SuspectGuard::new(node, caller, completion))
        .with_resumable(completion.stream);
    if last.last {
        return Ok(session.with_ended());
    }
    lock(&node.tables.orphans).resume(last.generation, node.now());
    match reconnect(node, address, last.generation, next, MAX_RECONNECTS, caller.deadline).await {
        Ok(tokens) => {
            let detail = format!("endpoint={} next={next}", last.endpoint);
            node.record_step(&caller.request, "taken_up", &detail);
            Ok(session.with_tokens(tokens))
        }
        Err(ReconnectError::Gone) => Err(gone()),
        Err(ReconnectError::Unreachable | ReconnectError::Stalled) => {
            let detail = "the engine can't be reached";
            let failure = Failure::new(Code::EndpointFailed, detail).with_run(RunStatus::Ran);
            Err(failure.with_retry_after(node.settings.silence))
        }
    }
}
