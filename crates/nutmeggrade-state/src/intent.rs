//! Intent records of non-idempotent calls in the platform.

use nutmeggrade_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::recorded_response::RecordedResponse;

/// Prefix of the platform keys that hold intents.
pub const INTENT_PREFIX: &str = "intents/";

/// Progress of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Progress {
    /// Claimed; the call may have been sent.
    Started,
    /// Finished with this response of the endpoint.
    Done {
        /// The response.
        answer: RecordedResponse,
    },
    /// Proved not to have run; the next attempt may take over the record.
    Released,
    /// Sent, and its response was lost for good.
    Unknown,
}

/// The record that lets exactly one attempt send a non-idempotent call.
///
/// Without it, a call that is retried at three instances at once would run three times. The record
/// is created only if absent, before the first byte is sent, so the platform selects the one
/// attempt that may send. An attempt that resumes after a pause still holds the right, since no
/// retry takes over its record. No attempt ever removes a record: a late removal could hit the
/// record of the next attempt, since versions may start again with a new object. It is marked as
/// released instead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Random id of the attempt; identifies the owner of the record after a lost response.
    pub nonce: GenerationId,
    /// The instance that claimed the record.
    pub instance: InstanceId,
    /// Incarnation of that instance; a later one has no state of the attempt.
    pub incarnation: u64,
    /// Hash of the request, to detect a key that is reused for a different request.
    pub request: String,
    /// Progress of the call.
    #[serde(flatten)]
    pub progress: Progress,
}

/// State of the attempt that owns a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Owner {
    /// Its instance is gone or silent; the state of the attempt is unknown.
    Gone,
    /// It may still be running.
    Busy,
    /// It ended without sending and will never send.
    NeverSent,
    /// It ended with this result, which is not yet in the record.
    Ended(Progress),
}

/// What an attempt may do after reading the record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// The record belongs to this attempt: send the call.
    Send,
    /// Nothing was sent under the record: replace it by this attempt's own.
    TakeOver,
    /// The call has ended: return this response.
    Answer(RecordedResponse),
    /// Reject the request with this code.
    Refuse(Code),
}

impl Intent {
    /// Creates the record of a new attempt by one incarnation of an instance.
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

    /// Sets the progress of the call.
    #[must_use]
    pub fn with_progress(mut self, progress: Progress) -> Self {
        self.progress = progress;
        self
    }

    /// Returns the platform key for the digest of a workspace's idempotency key.
    pub fn key(digest: &str) -> String {
        format!("{INTENT_PREFIX}{digest}")
    }

    /// Decides what this attempt may do, given the record found under its key.
    pub fn judge(&self, found: &Self, owner: &Owner) -> Claim {
        if found.nonce == self.nonce {
            return Claim::Send;
        }
        let progress = match (&found.progress, owner) {
            (Progress::Started, Owner::NeverSent) => &Progress::Released,
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
