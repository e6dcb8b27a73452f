//! When an instance reports what it counted.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutPhase, RolloutReport};

/// Longest time between two reports while nothing new was learned of the new version.
const IDLE: Duration = Duration::from_secs(1);

/// What the last report of a service said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reported {
    at: Moment,
    answers: u32,
    exposed: u32,
    running: u32,
    phase: RolloutPhase,
}

impl Reported {
    /// Notes a report.
    pub fn new(report: &RolloutReport, now: Moment) -> Self {
        Self {
            at: now,
            answers: report.tally.all_routes().new.count(),
            exposed: report.tally.exposed,
            running: report.running,
            phase: report.phase,
        }
    }

    /// Says whether another report tells anything that can't wait.
    pub fn is_old(&self, fresh: &Self) -> bool {
        let is_settling = fresh.phase.is_switched() && fresh.running != self.running;
        (self.answers, self.exposed, self.phase) != (fresh.answers, fresh.exposed, fresh.phase)
            || is_settling
            || fresh.at.since(self.at) >= IDLE
    }
}
