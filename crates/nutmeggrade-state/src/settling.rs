//! State machine that writes the outcome of an attempt to its record.

use crate::claiming::StoreResponse;
use crate::intent::{Intent, Progress};

/// Next step to settle a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SettleStep {
    /// Replace the record if it has this version.
    Replace(u64),
    /// Read the record, then continue.
    Read,
    /// Wait, then read the record.
    Wait,
    /// The record contains the outcome or belongs to a later attempt.
    Settled,
}

/// State machine that writes the outcome of an attempt. It does no I/O: the caller executes each
/// step and passes in the response.
///
/// An outage or a lost response just after the call would leave the record at "started", and a
/// retry at another instance would be told that the call is still running. The write is repeated
/// until the record contains the outcome. Only this attempt's own record is ever replaced.
#[derive(Debug)]
pub struct Settling {
    intent: Intent,
    step: SettleStep,
}

impl Settling {
    /// Starts with the record of the ended attempt and the version from its claim; `None` if the
    /// claim is in doubt.
    pub fn new(intent: Intent, version: Option<u64>) -> Self {
        let step = version.map_or(SettleStep::Read, SettleStep::Replace);
        Self { intent, step }
    }

    /// Returns the record to write.
    pub const fn intent(&self) -> &Intent {
        &self.intent
    }

    /// Returns the next step.
    pub const fn step(&self) -> SettleStep {
        self.step
    }

    /// Continues after a wait.
    pub const fn waited(&mut self) {
        self.step = SettleStep::Read;
    }

    /// Processes the response of the platform to the last step.
    pub fn apply(&mut self, response: &StoreResponse) {
        self.step = match response {
            StoreResponse::Written(_) => SettleStep::Settled,
            StoreResponse::Conflict => SettleStep::Read,
            // Absent: a claim in doubt may still take effect.
            StoreResponse::Refused | StoreResponse::Lost | StoreResponse::Absent => {
                SettleStep::Wait
            }
            StoreResponse::Found(found, version, _) => self.next_after_read(found, *version),
        };
    }

    fn next_after_read(&self, found: &Intent, version: u64) -> SettleStep {
        let is_unsettled = found.nonce == self.intent.nonce && found.progress == Progress::Started;
        if is_unsettled { SettleStep::Replace(version) } else { SettleStep::Settled }
    }
}
