//! How the end of an attempt gets into its record.

use crate::claiming::Said;
use crate::intent::{Intent, Progress};

/// What to do next to settle a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleStep {
    /// Replace the record if it has this version.
    Replace(u64),
    /// Read the record, then go on.
    Read,
    /// Wait a while, then read the record.
    Wait,
    /// The record says it, or belongs to a later attempt.
    Settled,
}

/// Writes how an attempt ended without I/O: steps go out, what the platform said comes in.
///
/// An outage or a lost answer just after the call would leave the record at "started": a retry at
/// another instance would be told that the call runs. The write is repeated until the record says
/// how it ended; only this attempt's own record is ever replaced.
#[derive(Debug)]
pub struct Settling {
    intent: Intent,
    step: SettleStep,
}

impl Settling {
    /// Starts with the ended attempt's record and the version it had when claimed; `None` if the
    /// claim itself is in doubt.
    pub fn new(intent: Intent, version: Option<u64>) -> Self {
        let step = version.map_or(SettleStep::Read, SettleStep::Replace);
        Self { intent, step }
    }

    /// Returns the record to write.
    pub const fn intent(&self) -> &Intent {
        &self.intent
    }

    /// Returns what to do next.
    pub const fn step(&self) -> SettleStep {
        self.step
    }

    /// Goes on after a wait.
    pub const fn waited(&mut self) {
        self.step = SettleStep::Read;
    }

    /// Takes what the platform said to the last step.
    pub fn take(&mut self, said: &Said) {
        self.step = match said {
            Said::Written(_) => SettleStep::Settled,
            Said::Conflict => SettleStep::Read,
            // Absent: a claim in doubt may still take effect.
            Said::Refused | Said::Lost | Said::Absent => SettleStep::Wait,
            Said::Found(found, version, _) => self.found(found, *version),
        };
    }

    fn found(&self, found: &Intent, version: u64) -> SettleStep {
        let open = found.nonce == self.intent.nonce && found.progress == Progress::Started;
        if open { SettleStep::Replace(version) } else { SettleStep::Settled }
    }
}
