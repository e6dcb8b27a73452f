//! Intents of non-idempotent calls, as the platform keeps them.

use nutmeggrade_core::prelude::*;
use serde::{Deserialize, Serialize};

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
        /// HTTP status of the endpoint.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// Sent, and its answer was lost for good.
    Unknown,
}

/// The record that lets one attempt, and no other, send a non-idempotent call.
///
/// A caller that retries at three instances at once would otherwise book a plot three times. The
/// record is created only if absent, before the first byte goes out, so the platform picks the one
/// attempt that may send. A paused attempt that wakes is still that one: no retry ever took over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Drawn by the attempt; tells after a lost answer whose record this is.
    pub nonce: GenerationId,
    /// The instance that claimed it.
    pub instance: InstanceId,
    /// Hash of the request, to notice a key used for two different requests.
    pub request: String,
    /// How far the call has come.
    #[serde(flatten)]
    pub progress: Progress,
}

/// What an attempt may do after it looked at the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The record is this attempt's: send the call.
    Send,
    /// The call ended before: give this answer.
    Answer {
        /// HTTP status of the endpoint.
        status: u16,
        /// Body of the answer.
        body: String,
    },
    /// Refuse with this code.
    Refuse(Code),
}

impl Intent {
    /// Makes the record of a new attempt.
    pub fn new(nonce: GenerationId, instance: &InstanceId, request: &str) -> Self {
        let request = request.to_owned();
        Self { nonce, instance: instance.clone(), request, progress: Progress::Started }
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
    ///
    /// `owner_live` tells whether the instance that claimed it is in service.
    pub fn judge(&self, found: &Self, owner_live: bool) -> Claim {
        if found.nonce == self.nonce {
            return Claim::Send;
        }
        if found.request != self.request {
            return Claim::Refuse(Code::KeyReused);
        }
        match &found.progress {
            Progress::Done { status, body } => {
                Claim::Answer { status: *status, body: body.clone() }
            }
            Progress::Started if owner_live => Claim::Refuse(Code::InProgress),
            Progress::Started | Progress::Unknown => Claim::Refuse(Code::OutcomeUnknown),
        }
    }
}
