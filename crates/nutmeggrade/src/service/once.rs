//! Non-idempotent calls, which must run at most once.

use std::collections::BTreeSet;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::claiming::{ClaimStep, Claiming, refused_run};
use nutmeggrade_state::intent::{Claim, Intent, Progress};
use nutmeggrade_state::recorded_response::RecordedResponse;
use nutmeggrade_state::settling::Settling;

use super::records::{claim_call, settle, settle_later};
use super::replica::{AttemptResult, attempt};
use super::{Call, ServiceResponse};
use crate::node::Node;
use crate::tables::lock;

/// Maximum number of replicas tried for a call that certainly has not run.
const MAX_ATTEMPTS: usize = 3;

/// Runs a call at most once for its workspace's idempotency key.
///
/// A caller that closes its connection cancels the request's handler at any await point. The record
/// would stay without an outcome, and a retry could never get it. So the call runs in a separate
/// task, which completes even if the caller disconnects.
pub async fn run_once<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
    key: &RequestId,
) -> Result<ServiceResponse, Failure> {
    let record_key = Intent::key(&key_hash(call, key));
    let task = tokio::spawn(run(Arc::clone(node), call.clone(), record_key));
    task.await.unwrap_or_else(|error| {
        let failure = Failure::new(Code::OutcomeUnknown, &error.to_string());
        Err(failure.with_run(RunStatus::Unknown))
    })
}

async fn run<P: Platform>(
    node: Arc<Node<P>>,
    call: Call,
    record_key: String,
) -> Result<ServiceResponse, Failure> {
    let nonce = GenerationId::new(rand::random());
    let entry = &node.entry;
    let intent = Intent::new(nonce, &entry.instance, entry.incarnation, &request_hash(&call));
    lock(&node.tables.intents).begin(nonce);
    let mut claiming = Claiming::new(intent);
    claim_call(&node, &record_key, &mut claiming).await;
    let detail = format!("record={record_key} {}", describe_claim(claiming.step()));
    node.record_step(&call.caller.request, "claimed", &detail);
    let intent = claiming.intent().clone();
    match claiming.step() {
        ClaimStep::Decided(Claim::Send, version) => {
            lock(&node.tables.intents).claimed(nonce);
            send(&node, &call, &record_key, &intent, *version).await
        }
        ClaimStep::GaveUp { may_apply: true } => {
            lock(&node.tables.intents).end(nonce, Progress::Released);
            let released = intent.with_progress(Progress::Released);
            settle_later(&node, &record_key, Settling::new(released, None));
            Err(platform_down(&node))
        }
        ClaimStep::Decided(claim, _) => {
            lock(&node.tables.intents).settle(nonce);
            resolve_claim(&node, claim)
        }
        _ => {
            lock(&node.tables.intents).settle(nonce);
            Err(platform_down(&node))
        }
    }
}

/// Describes the record that the claim found in the platform.
fn describe_claim(step: &ClaimStep) -> String {
    match step {
        ClaimStep::Decided(Claim::Send, version) => format!("own version={version}"),
        ClaimStep::Decided(Claim::Answer(_), _) => "answered before".to_owned(),
        ClaimStep::Decided(Claim::Refuse(code), _) => format!("code={code}"),
        _ => "the platform could not be asked".to_owned(),
    }
}

/// Sends the call to one replica after another until it may have run.
async fn send<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
    record_key: &str,
    intent: &Intent,
    version: u64,
) -> Result<ServiceResponse, Failure> {
    let mut avoid = BTreeSet::new();
    let mut refusal = Failure::new(Code::EndpointFailed, "no replica took the call");
    let mut last_result = None;
    for _ in 0..MAX_ATTEMPTS {
        if call.caller.deadline <= node.now() {
            refusal = Failure::new(Code::DeadlinePassed, "the deadline passed before the call");
            break;
        }
        lock(&node.tables.intents).sending(intent.nonce);
        match attempt(node, call, &mut avoid).await {
            Ok(AttemptResult::NotRun(reason)) => {
                refusal = Failure::new(Code::EndpointFailed, &reason);
                lock(&node.tables.intents).not_run(intent.nonce);
            }
            Err(failure) => {
                lock(&node.tables.intents).not_run(intent.nonce);
                refusal = failure;
                break;
            }
            Ok(other) => {
                last_result = Some(other);
                break;
            }
        }
    }
    let (progress, result) = outcome(last_result, refusal.with_retry_after(node.settings.silence));
    lock(&node.tables.intents).end(intent.nonce, progress.clone());
    let settling = Settling::new(intent.clone().with_progress(progress), Some(version));
    settle(node, record_key, settling).await;
    result
}

fn outcome(
    last_result: Option<AttemptResult>,
    refusal: Failure,
) -> (Progress, Result<ServiceResponse, Failure>) {
    match last_result {
        Some(AttemptResult::Answered(response)) => {
            let recorded = RecordedResponse::new(response.status, &response.body);
            let recorded = recorded.with_content(response.content_type.as_deref());
            (Progress::Done { answer: recorded }, Ok(response))
        }
        Some(AttemptResult::Lost(reason)) => {
            let failure = Failure::new(Code::OutcomeUnknown, &reason).with_run(RunStatus::Unknown);
            (Progress::Unknown, Err(failure))
        }
        Some(AttemptResult::NotRun(_)) | None => (Progress::Released, Err(refusal)),
    }
}

fn resolve_claim<P: Platform>(node: &Node<P>, claim: &Claim) -> Result<ServiceResponse, Failure> {
    let code = match claim {
        Claim::Answer(recorded) => return replay(recorded),
        Claim::Refuse(code) => *code,
        Claim::Send | Claim::TakeOver => Code::InProgress,
    };
    let detail = match code {
        Code::KeyReused => "the idempotency key was used for a different request",
        Code::InProgress => "an earlier attempt holds the key and may be running",
        _ => "an earlier attempt held the key, and nobody can tell whether it ran",
    };
    let failure = Failure::new(code, detail).with_run(refused_run(code));
    if code == Code::InProgress {
        return Err(failure.with_retry_after(node.settings.silence));
    }
    Err(failure)
}

fn replay(recorded: &RecordedResponse) -> Result<ServiceResponse, Failure> {
    let Some(body) = recorded.body() else {
        let detail = "an earlier attempt ran; its answer was too large to be kept";
        return Err(Failure::new(Code::AnswerNotKept, detail).with_run(RunStatus::Ran));
    };
    let content_type = recorded.content.clone();
    let body = bytes::Bytes::copy_from_slice(body);
    Ok(ServiceResponse { status: recorded.status, content_type, body, replayed: true })
}

/// Refuses a call whose record can't be read; this attempt never sends the call.
fn platform_down<P: Platform>(node: &Node<P>) -> Failure {
    let failure = Failure::new(Code::PlatformDown, "the call can't be recorded");
    with_unknown_run(failure).with_retry_after(node.settings.platform_wait)
}

/// Sets the run state "unknown" on a refusal that was made without reading the record of the key.
///
/// An earlier attempt with the same key may have run, at another instance or before an outage.
/// After "not run", a caller would retry with a new key, and the operation could run twice. Only
/// the record proves that no attempt ran; a retry with the same key is safe.
pub fn with_unknown_run(mut failure: Failure) -> Failure {
    failure.detail.push_str(
        "; this attempt did not run, but an earlier one with the same key may have: ask again with \
         the same key",
    );
    failure.with_run(RunStatus::Unknown)
}

fn key_hash(call: &Call, key: &RequestId) -> String {
    let text = format!("{}~{key}", call.caller.workspace);
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

fn request_hash(call: &Call) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(format!("{}/{}~", call.service, call.operation).as_bytes());
    hasher.update(&call.body);
    hasher.finalize().to_hex().to_string()
}
