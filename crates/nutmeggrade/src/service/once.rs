//! Calls that must run at most once.

use std::collections::BTreeSet;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{Platform, PlatformError};
use nutmeggrade_state::intent::{Claim, Intent, Progress};
use serde_json::Value;

use super::replica::{Attempt, attempt};
use super::{Answer, Call};
use crate::node::Node;
use crate::tables::lock;

/// Replicas that a call is tried on while it is proved not to have run.
const ATTEMPTS: usize = 3;
/// Attempts to learn from the platform whose the record is.
const CLAIM_ATTEMPTS: usize = 3;

/// A record in the platform that this attempt owns.
struct Owned {
    key: String,
    intent: Intent,
    version: u64,
}

/// Runs a call at most once for its workspace's idempotency key.
pub async fn run_once<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
    key: &RequestId,
) -> Result<Answer, Failure> {
    let nonce = GenerationId::new(rand::random());
    let intent = Intent::new(nonce, &node.entry.instance, &request_hash(call));
    let place = Intent::key(&key_hash(call, key));
    let claimed = claim(node, &place, &intent).await;
    note(node, call, &place, &claimed);
    let version = match claimed? {
        Claimed::Own(version) => version,
        Claimed::Answered(answer) => return Ok(answer),
    };
    let owned = Owned { key: place, intent, version };
    let mut avoid = BTreeSet::new();
    let mut why = "no replica took the call".to_owned();
    for _ in 0..ATTEMPTS {
        match attempt(node, call, &mut avoid).await {
            Ok(Attempt::Answered(answer)) => {
                let body = answer.body.clone();
                record(node, &owned, Progress::Done { status: answer.status, body }).await;
                return Ok(answer);
            }
            Ok(Attempt::NotRun(reason)) => why = reason,
            Ok(Attempt::Lost(reason)) => {
                record(node, &owned, Progress::Unknown).await;
                let failure = Failure::new(Code::OutcomeUnknown, &reason);
                return Err(failure.with_run(Run::Unknown));
            }
            Err(failure) => {
                why = failure.detail;
                break;
            }
        }
    }
    release(node, &owned).await;
    let failure = Failure::new(Code::EndpointFailed, &why);
    Err(failure.with_retry_after(node.settings.silence))
}

enum Claimed {
    Own(u64),
    Answered(Answer),
}

/// Notes whose record the call found in the platform.
fn note<P: Platform>(node: &Node<P>, call: &Call, place: &str, claimed: &Result<Claimed, Failure>) {
    let outcome = match claimed {
        Ok(Claimed::Own(version)) => format!("own version={version}"),
        Ok(Claimed::Answered(_)) => "answered before".to_owned(),
        Err(failure) => format!("code={} {}", failure.code, failure.detail),
    };
    node.note(&call.caller.request, "claimed", &format!("record={place} {outcome}"));
}

/// Creates the record, or learns whose it is.
///
/// The answer of the create can be lost after the write took effect. The record is then read back:
/// its nonce tells whether this attempt owns it. If that can't be learned either, nothing is sent,
/// now or later, so "not run" stays true.
async fn claim<P: Platform>(
    node: &Node<P>,
    place: &str,
    intent: &Intent,
) -> Result<Claimed, Failure> {
    let value = serde_json::to_value(intent)
        .map_err(|e| Failure::new(Code::PlatformDown, &e.to_string()))?;
    let mut last = String::new();
    for _ in 0..CLAIM_ATTEMPTS {
        match node.platform.create(place, &value).await {
            Ok(version) => return Ok(Claimed::Own(version)),
            Err(PlatformError::Refused(error)) => {
                last = format!("{error:#}");
                break;
            }
            Err(PlatformError::Unknown(error)) => last = format!("{error:#}"),
            Err(PlatformError::Conflict) => {}
        }
        match node.platform.read(place).await {
            Ok(Some(object)) => {
                let value = object.value.unwrap_or_default();
                return judge(node, intent, value, object.version);
            }
            Ok(None) => {}
            Err(error) => last = error.to_string(),
        }
    }
    let failure = Failure::new(Code::PlatformDown, &format!("the call can't be recorded: {last}"));
    Err(failure.with_retry_after(node.settings.platform_wait))
}

fn judge<P: Platform>(
    node: &Node<P>,
    intent: &Intent,
    value: Value,
    version: u64,
) -> Result<Claimed, Failure> {
    let found: Intent = serde_json::from_value(value).map_err(|e| {
        let detail = format!("the record can't be read: {e}");
        Failure::new(Code::OutcomeUnknown, &detail).with_run(Run::Unknown)
    })?;
    let live = lock(&node.tables.members).is_live(&found.instance, node.now());
    match intent.judge(&found, live) {
        Claim::Send => Ok(Claimed::Own(version)),
        Claim::Answer { status, body } => {
            Ok(Claimed::Answered(Answer { status, body, replayed: true }))
        }
        Claim::Refuse(Code::KeyReused) => {
            let detail = "the idempotency key was used for a different request";
            Err(Failure::new(Code::KeyReused, detail))
        }
        Claim::Refuse(code) => {
            let detail = format!("an earlier attempt at {} holds the key", found.instance);
            let failure = Failure::new(code, &detail).with_run(Run::Unknown);
            Err(failure.with_retry_after(node.settings.silence))
        }
    }
}

/// Writes down how the call ended, so that a retry gets the same answer.
async fn record<P: Platform>(node: &Node<P>, owned: &Owned, progress: Progress) {
    let intent = owned.intent.clone().with_progress(progress);
    let Ok(value) = serde_json::to_value(&intent) else { return };
    if let Err(error) = node.platform.replace(&owned.key, &value, owned.version).await {
        tracing::warn!(event = "outcome_not_recorded", key = owned.key, %error);
    }
}

/// Gives the key back after a call that is proved not to have run and never will by this attempt.
async fn release<P: Platform>(node: &Node<P>, owned: &Owned) {
    if let Err(error) = node.platform.remove(&owned.key, owned.version).await {
        tracing::warn!(event = "key_not_released", key = owned.key, %error);
    }
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
