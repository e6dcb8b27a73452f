//! State machine that claims the right to send a non-idempotent call.

use crate::intent::{Claim, Intent, Owner};
use nutmeggrade_core::prelude::*;

/// Maximum number of writes per attempt.
const MAX_WRITES: u32 = 3;

/// Next step of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the record if absent.
    Create,
    /// Replace the record if it has this version.
    Replace(u64),
    /// Read the record.
    Read,
    /// The claim is decided, with the version of the record; for [`Claim::Send`] it is this
    /// attempt's record.
    Decided(Claim, u64),
    /// The platform could not be reached; `may_apply` if a write may still take effect later.
    GaveUp {
        /// Whether a write of this attempt may still take effect.
        may_apply: bool,
    },
}

/// Response of the platform to a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// The write took effect and created this version.
    Written(u64),
    /// The record has another version; nothing was written.
    Conflict,
    /// Nothing was written.
    Refused,
    /// The response was lost; the write may have taken effect or may still do so.
    Lost,
    /// The record as read, with its version and the state of its owner.
    Found(Box<Intent>, u64, Owner),
    /// The record does not exist.
    Absent,
}

/// State machine that claims a record. It does no I/O: the caller executes each step and passes in
/// the response.
///
/// The response of a write can be lost after the write took effect, and a write can take effect
/// long after its sender gave up on it. The record is then read back, and its nonce shows whether
/// it belongs to this attempt. If that cannot be determined, the call is never sent.
#[derive(Debug)]
pub struct Claiming {
    intent: Intent,
    step: ClaimStep,
    writes: u32,
    may_apply: bool,
}

impl Claiming {
    /// Starts a claim with the attempt's record.
    pub const fn new(intent: Intent) -> Self {
        Self { intent, step: ClaimStep::Create, writes: 0, may_apply: false }
    }

    /// Returns the attempt's record.
    pub const fn intent(&self) -> &Intent {
        &self.intent
    }

    /// Returns the next step.
    pub const fn step(&self) -> &ClaimStep {
        &self.step
    }

    /// Processes the response of the platform to the last step.
    pub fn apply(&mut self, response: StoreResponse) {
        self.step = match response {
            StoreResponse::Written(version) => ClaimStep::Decided(Claim::Send, version),
            StoreResponse::Refused => ClaimStep::GaveUp { may_apply: self.may_apply },
            StoreResponse::Conflict => ClaimStep::Read,
            StoreResponse::Lost => self.response_lost(),
            StoreResponse::Absent => self.write(ClaimStep::Create),
            StoreResponse::Found(found, version, owner) => self.judge(&found, version, &owner),
        };
    }

    fn response_lost(&mut self) -> ClaimStep {
        if self.step == ClaimStep::Read {
            return ClaimStep::GaveUp { may_apply: self.may_apply };
        }
        self.may_apply = true;
        ClaimStep::Read
    }

    fn judge(&mut self, found: &Intent, version: u64, owner: &Owner) -> ClaimStep {
        match self.intent.judge(found, owner) {
            Claim::TakeOver => self.write(ClaimStep::Replace(version)),
            claim => ClaimStep::Decided(claim, version),
        }
    }

    fn write(&mut self, step: ClaimStep) -> ClaimStep {
        self.writes += 1;
        if self.writes >= MAX_WRITES {
            ClaimStep::GaveUp { may_apply: self.may_apply }
        } else {
            step
        }
    }
}

/// Returns what the caller is told about the execution of a call whose claim was rejected.
pub const fn refused_run(code: Code) -> RunStatus {
    match code {
        Code::KeyReused => RunStatus::NotRun,
        _ => RunStatus::Unknown,
    }
}
