//! How an attempt gets the right to send a non-idempotent call.

use crate::intent::{Claim, Intent, Owner};
use nutmeggrade_core::prelude::*;

/// Writes that one attempt tries before it gives up.
const WRITES: u32 = 3;

/// What to do next for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Create the record if absent.
    Create,
    /// Replace the record if it has this version.
    Replace(u64),
    /// Read the record.
    Read,
    /// The claim is decided; the version is that of the own record for [`Claim::Send`].
    Decided(Claim, u64),
    /// The platform could not be asked; `doubt` if a write may still take effect later.
    GaveUp {
        /// Whether a write of this attempt may still take effect.
        doubt: bool,
    },
}

/// What the platform said.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Said {
    /// The write took effect and made this version.
    Written(u64),
    /// Another version is there; nothing was written.
    Conflict,
    /// Nothing was written.
    Refused,
    /// The answer was lost; the write may have taken effect, or may still.
    Lost,
    /// The record as read, with its version and what is known of its owner.
    Found(Box<Intent>, u64, Owner),
    /// No record is there.
    Absent,
}

/// Claims a record without I/O: steps go out, what the platform said comes in.
///
/// The answer of a write can be lost after the write took effect, and a write can take effect long
/// after its sender gave up on it. The record is then read back, and its nonce tells whether it is
/// this attempt's. If that can't be learned, nothing is sent, now or later.
#[derive(Debug)]
pub struct Claiming {
    intent: Intent,
    step: ClaimStep,
    writes: u32,
    doubt: bool,
}

impl Claiming {
    /// Starts with the attempt's record.
    pub const fn new(intent: Intent) -> Self {
        Self { intent, step: ClaimStep::Create, writes: 0, doubt: false }
    }

    /// Returns the attempt's record.
    pub const fn intent(&self) -> &Intent {
        &self.intent
    }

    /// Returns what to do next.
    pub const fn step(&self) -> &ClaimStep {
        &self.step
    }

    /// Takes what the platform said to the last step.
    pub fn take(&mut self, said: Said) {
        self.step = match said {
            Said::Written(version) => ClaimStep::Decided(Claim::Send, version),
            Said::Refused => ClaimStep::GaveUp { doubt: self.doubt },
            Said::Conflict => ClaimStep::Read,
            Said::Lost => self.lost(),
            Said::Absent => self.write(ClaimStep::Create),
            Said::Found(found, version, owner) => self.judge(&found, version, &owner),
        };
    }

    fn lost(&mut self) -> ClaimStep {
        if self.step == ClaimStep::Read {
            return ClaimStep::GaveUp { doubt: self.doubt };
        }
        self.doubt = true;
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
        if self.writes >= WRITES { ClaimStep::GaveUp { doubt: self.doubt } } else { step }
    }
}

/// Says what a caller may be told about the run of a refused claim.
pub const fn refused_run(code: Code) -> Run {
    match code {
        Code::KeyReused => Run::NotRun,
        _ => Run::Unknown,
    }
}
