//! Counts that a peer reported for a rollout.

use nutmeggrade_core::rollout::{RolloutPhase, RolloutReport, RolloutTally};

/// Counts that one incarnation of a peer reported for a rollout.
#[derive(Debug, Clone)]
pub struct PeerCount {
    /// Phase in force at the peer.
    pub phase: RolloutPhase,
    /// Number of requests that it has at other versions.
    pub running: u32,
    /// Its counts.
    pub tally: RolloutTally,
}

impl PeerCount {
    /// Creates the counts from a report.
    pub fn new(report: &RolloutReport) -> Self {
        Self { phase: report.phase, running: report.running, tally: report.tally.clone() }
    }

    /// Returns whether the peer no longer sends to other versions and has no requests there.
    pub fn is_clear(&self) -> bool {
        self.phase >= RolloutPhase::Switching && self.running == 0
    }

    /// Returns whether a report is not older than these counts, which only grow.
    pub fn is_superseded_by(&self, report: &RolloutReport) -> bool {
        (self.phase, self.tally.requests) <= (report.phase, report.tally.requests)
    }
}
