//! Rules for when an instance sends its counts.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutPhase, RolloutReport};

/// Maximum time between two reports while the counts for the new version are unchanged.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Content of the last report on a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastReport {
    sent_at: Moment,
    responses: u32,
    exposed: u32,
    running: u32,
    phase: RolloutPhase,
}

impl LastReport {
    /// Creates the summary of a report.
    pub fn new(report: &RolloutReport, now: Moment) -> Self {
        Self {
            sent_at: now,
            responses: report.tally.all_routes().new.count(),
            exposed: report.tally.exposed,
            running: report.running,
            phase: report.phase,
        }
    }

    /// Returns whether the new report is due: it differs in a relevant value, or the last one is
    /// too old.
    pub fn is_outdated_by(&self, newer: &Self) -> bool {
        let running_changed = newer.phase.is_switched() && newer.running != self.running;
        (self.responses, self.exposed, self.phase) != (newer.responses, newer.exposed, newer.phase)
            || running_changed
            || newer.sent_at.since(self.sent_at) >= MAX_REPORT_INTERVAL
    }
}
