//! What a peer reported of a roll-out.

use nutmeggrade_core::rollout::{RolloutPhase, RolloutReport, RolloutTally};

/// What a peer reported of a roll-out in one of its lives.
#[derive(Debug, Clone)]
pub struct PeerCount {
    /// The phase that it has in force.
    pub phase: RolloutPhase,
    /// Requests that it has at other versions.
    pub running: u32,
    /// What it counted.
    pub tally: RolloutTally,
}

impl PeerCount {
    /// Takes a report's counts.
    pub fn new(report: &RolloutReport) -> Self {
        Self { phase: report.phase, running: report.running, tally: report.tally.clone() }
    }

    /// Says whether the peer sends nothing to other versions any more and has nothing there.
    pub fn is_clear(&self) -> bool {
        self.phase >= RolloutPhase::Switching && self.running == 0
    }

    /// Says whether a report is newer than this; counts only grow.
    pub fn is_before(&self, report: &RolloutReport) -> bool {
        (self.phase, self.tally.requests) <= (report.phase, report.tally.requests)
    }
}
