//! Intents of non-idempotent calls, as the platform keeps them.

use nutmeggrade_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::recorded::Recorded;

/// Prefix of the platform keys that hold intents.
pub const INTENT_PREFIX: &str = "intents/";

/// How far a non-idempotent call has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Progress {
    /// Claimed; the call may have been sent.
    Started,
    /// Ended with this answer of the endpoint.
    Done {
        /// The answer.
        answer: Recorded,
    },
    /// Proved not to have run; the next attempt may take the record over.
    Released,
    /// Sent, and its answer was lost for good.
    Unknown,
}

/// The record that lets one attempt, and no other, send a non-idempotent call.
///
/// A caller that retries at three instances at once would otherwise book a plot three times. The
/// record is created only if absent, before the first byte goes out, so the platform picks the one
/// attempt that may send. A paused attempt that wakes is still that one: no retry ever took over.
/// A record is never removed by an attempt: a removal that arrives late could hit the record of the
/// next attempt, since versions may start again with a new object. It is marked as released instead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Drawn by the attempt; tells after a lost answer whose record this is.
    pub nonce: GenerationId,
    /// The instance that claimed it.
    pub instance: InstanceId,
    /// The life of that instance; a later one of the same name knows nothing of the attempt.
    pub incarnation: u64,
    /// Hash of the request, to notice a key used for two different requests.
    pub request: String,
    /// How far the call has come.
    #[serde(flatten)]
    pub progress: Progress,
}

/// What is known of the attempt that owns a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// Its instance is gone or silent: nobody can tell what it did.
    Gone,
    /// It may still be running.
    Busy,
    /// It ended without sending and will never send.
    Never,
    /// It ended so, but the record does not say it yet.
    Ended(Progress),
}

/// What an attempt may do after it looked at the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The record is this attempt's: send the call.
    Send,
    /// Nothing was sent under the record: replace it by this attempt's own.
    TakeOver,
    /// The call ended before: give this answer.
    Answer(Recorded),
    /// Refuse with this code.
    Refuse(Code),
}

impl Intent {
    /// Makes the record of a new attempt in one life of an instance.
    pub fn new(
        nonce: GenerationId,
        instance: &InstanceId,
        incarnation: u64,
        request: &str,
    ) -> Self {
        let request = request.to_owned();
        let instance = instance.clone();
        Self { nonce, instance, incarnation, request, progress: Progress::Started }
    }

    /// Sets how far the call has come.
    #[must_use]
    pub fn with_progress(mut self, progress: Progress) -> Self {
        self.progress = progress;
        self
    }

    /// Returns the platform key of a workspace's idempotency key.
    pub fn key(digest: &str) -> String {
        format!("{INTENT_PREFIX}{digest}")
    }

    /// Judges the record that this attempt found in place of its own.
    pub fn judge(&self, found: &Self, owner: &Owner) -> Claim {
        if found.nonce == self.nonce {
            return Claim::Send;
        }
        let progress = match (&found.progress, owner) {
            (Progress::Started, Owner::Never) => &Progress::Released,
            (Progress::Started, Owner::Ended(progress)) | (progress, _) => progress,
        };
        if *progress == Progress::Released {
            return Claim::TakeOver;
        }
        if found.request != self.request {
            return Claim::Refuse(Code::KeyReused);
        }
        match progress {
            Progress::Done { answer } => Claim::Answer(answer.clone()),
            Progress::Started if *owner == Owner::Busy => Claim::Refuse(Code::InProgress),
            _ => Claim::Refuse(Code::OutcomeUnknown),
        }
    }
}
