//! Calls that must run at most once.

use std::collections::BTreeSet;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::claiming::{ClaimStep, Claiming, refused_run};
use nutmeggrade_state::intent::{Claim, Intent, Progress};
use nutmeggrade_state::recorded::RecordedAnswer;
use nutmeggrade_state::settling::Settling;

use super::records::{claim_call, settle, settle_later};
use super::replica::{Attempt, attempt};
use super::{Answer, Call};
use crate::node::Node;
use crate::tables::lock;

/// Replicas that a call is tried on while it is proved not to have run.
const ATTEMPTS: usize = 3;

/// Runs a call at most once for its workspace's idempotency key.
///
/// A caller that closes its connection ends the handler of its request at any await. The call would
/// stay without its outcome in the platform, and a retry would never learn it; so the call runs in a
/// task of its own, which ends whether or not somebody listens.
pub async fn run_once<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
    key: &RequestId,
) -> Result<Answer, Failure> {
    let place = Intent::key(&key_hash(call, key));
    let task = tokio::spawn(run(Arc::clone(node), call.clone(), place));
    task.await.unwrap_or_else(|error| {
        let failure = Failure::new(Code::OutcomeUnknown, &error.to_string());
        Err(failure.with_run(Run::Unknown))
    })
}

async fn run<P: Platform>(
    node: Arc<Node<P>>,
    call: Call,
    place: String,
) -> Result<Answer, Failure> {
    let nonce = GenerationId::new(rand::random());
    let entry = &node.entry;
    let intent = Intent::new(nonce, &entry.instance, entry.incarnation, &request_hash(&call));
    lock(&node.tables.intents).begin(nonce);
    let mut claiming = Claiming::new(intent);
    claim_call(&node, &place, &mut claiming).await;
    let found = format!("record={place} {}", describe(claiming.step()));
    node.note(&call.caller.request, "claimed", &found);
    let intent = claiming.intent().clone();
    match claiming.step() {
        ClaimStep::Decided(Claim::Send, version) => {
            lock(&node.tables.intents).claimed(nonce);
            send(&node, &call, &place, &intent, *version).await
        }
        ClaimStep::GaveUp { doubt: true } => {
            lock(&node.tables.intents).end(nonce, Progress::Released);
            let released = intent.with_progress(Progress::Released);
            settle_later(&node, &place, Settling::new(released, None));
            Err(platform_down(&node))
        }
        ClaimStep::Decided(claim, _) => {
            lock(&node.tables.intents).settle(nonce);
            refuse(&node, claim)
        }
        _ => {
            lock(&node.tables.intents).settle(nonce);
            Err(platform_down(&node))
        }
    }
}

/// Tells whose record the call found in the platform.
fn describe(step: &ClaimStep) -> String {
    match step {
        ClaimStep::Decided(Claim::Send, version) => format!("own version={version}"),
        ClaimStep::Decided(Claim::Answer(_), _) => "answered before".to_owned(),
        ClaimStep::Decided(Claim::Refuse(code), _) => format!("code={code}"),
        _ => "the platform could not be asked".to_owned(),
    }
}

/// Hands the call to one replica after another until it may have run.
async fn send<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
    place: &str,
    intent: &Intent,
    version: u64,
) -> Result<Answer, Failure> {
    let mut avoid = BTreeSet::new();
    let mut refusal = Failure::new(Code::EndpointFailed, "no replica took the call");
    let mut ended = None;
    for _ in 0..ATTEMPTS {
        if call.caller.deadline <= node.now() {
            refusal = Failure::new(Code::DeadlinePassed, "the deadline passed before the call");
            break;
        }
        lock(&node.tables.intents).sending(intent.nonce);
        match attempt(node, call, &mut avoid).await {
            Ok(Attempt::NotRun(reason)) => {
                refusal = Failure::new(Code::EndpointFailed, &reason);
                lock(&node.tables.intents).not_run(intent.nonce);
            }
            Err(failure) => {
                lock(&node.tables.intents).not_run(intent.nonce);
                refusal = failure;
                break;
            }
            Ok(other) => {
                ended = Some(other);
                break;
            }
        }
    }
    let (progress, result) = outcome(ended, refusal.with_retry_after(node.settings.silence));
    lock(&node.tables.intents).end(intent.nonce, progress.clone());
    let settling = Settling::new(intent.clone().with_progress(progress), Some(version));
    settle(node, place, settling).await;
    result
}

fn outcome(ended: Option<Attempt>, refusal: Failure) -> (Progress, Result<Answer, Failure>) {
    match ended {
        Some(Attempt::Answered(answer)) => {
            let recorded = RecordedAnswer::new(answer.status, &answer.body);
            let answer_kept = recorded.with_content(answer.content.as_deref());
            (Progress::Done { answer: answer_kept }, Ok(answer))
        }
        Some(Attempt::Lost(reason)) => {
            let failure = Failure::new(Code::OutcomeUnknown, &reason).with_run(Run::Unknown);
            (Progress::Unknown, Err(failure))
        }
        Some(Attempt::NotRun(_)) | None => (Progress::Released, Err(refusal)),
    }
}

fn refuse<P: Platform>(node: &Node<P>, claim: &Claim) -> Result<Answer, Failure> {
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

fn replay(recorded: &RecordedAnswer) -> Result<Answer, Failure> {
    let Some(body) = recorded.body() else {
        let detail = "an earlier attempt ran; its answer was too large to be kept";
        return Err(Failure::new(Code::AnswerNotKept, detail).with_run(Run::Ran));
    };
    let content = recorded.content.clone();
    let body = bytes::Bytes::copy_from_slice(body);
    Ok(Answer { status: recorded.status, content, body, replayed: true })
}

/// Refuses a call whose record can't be learned; this attempt sends nothing, now or later.
fn platform_down<P: Platform>(node: &Node<P>) -> Failure {
    let failure = Failure::new(Code::PlatformDown, "the call can't be recorded");
    unlearned(failure).with_retry_after(node.settings.platform_wait)
}

/// Marks a refusal that was made without looking at the record of the key.
///
/// An earlier attempt with the same key may have run, at another instance or before a cut. Told "not
/// run", a caller would ask with a new key and get its plot booked twice. Only the record proves that
/// no attempt ran, so without it the answer is "unknown", and the same key is safe to ask with again.
pub fn unlearned(mut failure: Failure) -> Failure {
    failure.detail.push_str(
        "; this attempt did not run, but an earlier one with the same key may have: ask again with \
         the same key",
    );
    failure.with_run(Run::Unknown)
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
