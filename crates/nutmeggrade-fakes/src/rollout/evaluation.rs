//! Evaluates a simulated rollout by the requests at the endpoints and the writes to the store.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::RolloutState;

use super::plan::{Flaw, Plan};

/// Number of defective responses after which the new version must be rolled back.
const ROLLBACK_THRESHOLD: u32 = 50;
/// Limit from that response to the last request at the new version.
const ROLLBACK_LIMIT: Duration = Duration::from_secs(5);

/// The end of a simulated rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutEnd {
    /// The state that the store recorded, and the time from the order to its write.
    Decided(RolloutState, Duration),
    /// The rollout was undecided when the simulation ended.
    Open,
}

/// The result of a simulated rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// State of the rollout at the end of the simulation.
    pub end: RolloutEnd,
    /// Number of requests within the order's duration.
    pub requests: u32,
    /// Number of these requests that went to the new version.
    pub exposed: u32,
    /// Number of requests at the new version past the rollback limit.
    pub late_requests: u32,
    /// Number of requests interrupted when the old endpoints stopped.
    pub interrupted: u32,
    /// Number of states written after the decision.
    pub late_writes: u32,
    exposure_bound: f64,
    is_bad: bool,
    deadline: Duration,
}

impl Report {
    /// Returns whether a defective version got more requests than its bound.
    pub fn is_overexposed(&self) -> bool {
        self.is_bad && f64::from(self.exposed) > self.exposure_bound
    }

    /// Returns whether any rule was violated.
    pub fn is_broken(&self) -> bool {
        self.is_overexposed()
            || self.late_requests > 0
            || self.interrupted > 0
            || self.late_writes > 0
    }

    /// Returns whether the decision is right: a good version completed, a defective one reverted.
    pub fn is_correct(&self) -> bool {
        let expected = if self.is_bad { RolloutState::Reverted } else { RolloutState::Completed };
        matches!(self.end, RolloutEnd::Decided(state, _) if state == expected)
    }

    /// Returns whether the rollout was decided within the order's duration.
    pub fn is_in_time(&self) -> bool {
        matches!(self.end, RolloutEnd::Decided(_, after) if after <= self.deadline)
    }
}

/// Counts the requests that decide the result of a rollout.
#[derive(Debug)]
pub struct Evaluator {
    plan: Plan,
    requests: u32,
    exposed: u32,
    bad_responses: u32,
    /// Time of the response that made a rollback due.
    rollback_due: Option<Duration>,
    late_requests: u32,
    interrupted: u32,
}

impl Evaluator {
    /// Creates an evaluator with all counters at zero.
    pub fn new(plan: &Plan) -> Self {
        let plan = plan.clone();
        Self {
            plan,
            requests: 0,
            exposed: 0,
            bad_responses: 0,
            rollback_due: None,
            late_requests: 0,
            interrupted: 0,
        }
    }

    /// Counts a request for the service.
    pub fn count_request(&mut self, age: Duration) {
        self.requests += u32::from(age <= self.plan.duration);
    }

    /// Counts a request that reaches the new version.
    pub fn count_exposed(&mut self, age: Duration) {
        self.exposed += u32::from(age <= self.plan.duration);
        let is_late = self.rollback_due.is_some_and(|due| age > due + ROLLBACK_LIMIT);
        self.late_requests += u32::from(is_late);
    }

    /// Counts a response that shows the defect.
    pub fn count_bad_response(&mut self, age: Duration) {
        self.bad_responses += 1;
        if self.bad_responses >= ROLLBACK_THRESHOLD {
            self.rollback_due.get_or_insert(age);
        }
    }

    /// Counts requests that were running at old endpoints when these stopped.
    pub fn count_interrupted(&mut self, running: u32) {
        self.interrupted += running;
    }

    /// Returns the result of the rollout that was ordered at `ordered`.
    pub fn report(&self, written: &[(RolloutState, Moment)], ordered: Moment) -> Report {
        let is_decision = |(state, _): &&(RolloutState, Moment)| *state != RolloutState::InProgress;
        let decision = written.iter().position(|w| is_decision(&w));
        let end = decision.map_or(RolloutEnd::Open, |at| {
            let (state, when) = written[at];
            RolloutEnd::Decided(state, when.since(ordered))
        });
        let later_writes = decision.map_or(0, |at| written.len() - at - 1);
        Report {
            end,
            requests: self.requests,
            exposed: self.exposed,
            late_requests: self.late_requests,
            interrupted: self.interrupted,
            late_writes: u32::try_from(later_writes).unwrap_or(u32::MAX),
            exposure_bound: self.plan.bound.max_exposed(f64::from(self.requests)),
            is_bad: self.plan.flaw != Flaw::None,
            deadline: self.plan.duration,
        }
    }
}
