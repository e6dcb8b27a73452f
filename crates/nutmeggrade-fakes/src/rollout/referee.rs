//! Judges how a roll-out was handled, by what the endpoints and the store saw.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::RolloutState;

use super::plan::{Flaw, Plan};

/// Bad answers after which a bad version is to get nothing more.
const BAD_ANSWERS: u32 = 50;
/// Time that it may still get requests after that.
const ROLLBACK: Duration = Duration::from_secs(5);

/// How a roll-out ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The store says so, so long after the order.
    Decided(RolloutState, Duration),
    /// It was still open when the play ended.
    Open,
}

/// How a roll-out was handled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// How it ended.
    pub end: End,
    /// Requests within the order's duration.
    pub requests: u32,
    /// Requests of these that went to the new version.
    pub exposed: u32,
    /// Requests that a bad version got too late after too many bad answers.
    pub too_late: u32,
    /// Requests at old endpoints that were cut when these stopped.
    pub cut: u32,
    /// States that were written after the decision.
    pub steps_back: u32,
    bound: f64,
    is_bad: bool,
    limit: Duration,
}

impl Report {
    /// Says whether a bad version got more than it may.
    pub fn is_overexposed(&self) -> bool {
        self.is_bad && f64::from(self.exposed) > self.bound
    }

    /// Says whether a rule was broken.
    pub fn is_broken(&self) -> bool {
        self.is_overexposed() || self.too_late > 0 || self.cut > 0 || self.steps_back > 0
    }

    /// Says whether a good version was completed, and a bad one reverted.
    pub fn is_right(&self) -> bool {
        let right = if self.is_bad { RolloutState::Reverted } else { RolloutState::Completed };
        matches!(self.end, End::Decided(state, _) if state == right)
    }

    /// Says whether it was decided within the order's duration.
    pub fn is_in_time(&self) -> bool {
        matches!(self.end, End::Decided(_, after) if after <= self.limit)
    }
}

/// Watches the endpoints and the store.
#[derive(Debug)]
pub struct Referee {
    plan: Plan,
    requests: u32,
    exposed: u32,
    bad_answers: u32,
    enough: Option<Duration>,
    too_late: u32,
    cut: u32,
}

impl Referee {
    /// Makes a referee that has seen nothing.
    pub fn new(plan: &Plan) -> Self {
        let plan = plan.clone();
        Self { plan, requests: 0, exposed: 0, bad_answers: 0, enough: None, too_late: 0, cut: 0 }
    }

    /// Notes a request for the service.
    pub fn request(&mut self, age: Duration) {
        self.requests += u32::from(age <= self.plan.duration);
    }

    /// Notes a request that reaches the new version.
    pub fn exposed(&mut self, age: Duration) {
        self.exposed += u32::from(age <= self.plan.duration);
        let is_late = self.enough.is_some_and(|at| age > at + ROLLBACK);
        self.too_late += u32::from(is_late);
    }

    /// Notes an answer in which the flaw shows.
    pub fn bad_answer(&mut self, age: Duration) {
        self.bad_answers += 1;
        if self.bad_answers >= BAD_ANSWERS {
            self.enough.get_or_insert(age);
        }
    }

    /// Notes requests that ran at old endpoints when these stopped.
    pub fn stopped(&mut self, running: u32) {
        self.cut += running;
    }

    /// Returns how the roll-out was handled. Its order was given at `ordered`.
    pub fn report(&self, written: &[(RolloutState, Moment)], ordered: Moment) -> Report {
        let is_end = |(state, _): &&(RolloutState, Moment)| *state != RolloutState::InProgress;
        let ends = written.iter().position(|w| is_end(&w));
        let end = ends.map_or(End::Open, |at| {
            let (state, when) = written[at];
            End::Decided(state, when.since(ordered))
        });
        let after = ends.map_or(0, |at| written.len() - at - 1);
        Report {
            end,
            requests: self.requests,
            exposed: self.exposed,
            too_late: self.too_late,
            cut: self.cut,
            steps_back: u32::try_from(after).unwrap_or(u32::MAX),
            bound: self.plan.bound.max_exposed(f64::from(self.requests)),
            is_bad: self.plan.flaw != Flaw::None,
            limit: self.plan.duration,
        }
    }
}
