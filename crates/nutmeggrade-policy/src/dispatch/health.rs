//! Which endpoints fail.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::FailureRate;

/// Time in which a failure loses most of its weight: a few heartbeats of an endpoint, after which the
/// registry has taken out one that died.
const FADE: Duration = Duration::from_secs(4);
/// First pause after an endpoint that could not be reached; one round trip is a few milliseconds, so
/// that a restarted endpoint is found again soon.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest pause; by then the registry knows.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Age at which the word that an endpoint is gone is given again, if it still is: half of the pause that
/// it brings, so that whoever heard it does not try the endpoint in between.
const RENEWAL: Duration = Duration::from_millis(250);
/// Part of the old weight that each success leaves.
const FORGIVEN: f64 = 0.7;

/// What an endpoint's own answers say of it.
///
/// Answers endpoints whose registration is fine while they fail or can't be reached. Without it each
/// instance goes on sending them their share, and one notices that a fixed part of all requests
/// fails until the registry drops the entry, or for good. An endpoint that could not be reached is
/// left alone for a pause that doubles; one that answers with failures is only less attractive, since
/// some kinds of request fail everywhere.
#[derive(Debug, Clone, Default)]
pub struct Health {
    trouble: f64,
    at: Moment,
    row: u32,
    until: Option<Moment>,
    told: Option<Moment>,
    near: FailureRate,
    all: FailureRate,
    untold: (u32, u32),
}

impl Health {
    /// Notes an answer that is no failure.
    pub fn succeeded(&mut self, now: Moment) {
        self.trouble = self.trouble(now) * FORGIVEN;
        self.at = now;
        self.row = 0;
        self.until = None;
        self.told = None;
        self.count((0, 1), now);
    }

    /// Notes that the endpoint answered with a failure.
    pub fn failed(&mut self, now: Moment) {
        self.trouble = self.trouble(now) + 1.0;
        self.at = now;
        self.count((1, 1), now);
    }

    fn count(&mut self, (failures, answers): (u32, u32), now: Moment) {
        self.untold = (self.untold.0 + failures, self.untold.1 + answers);
        self.add_counted((failures, answers), true, now);
    }

    /// Notes answers that this instance or a peer counted, and how many of them are failures. `is_near` says
    /// whether it is in the same failure domain.
    pub fn add_counted(&mut self, counted: (u32, u32), is_near: bool, now: Moment) {
        self.all.add(counted, now);
        if is_near {
            self.near.add(counted, now);
        }
    }

    /// Takes what peers were not told yet, if there are failures among it.
    pub fn take_untold(&mut self) -> Option<(u32, u32)> {
        (self.untold.0 > 0).then(|| std::mem::take(&mut self.untold))
    }

    /// Returns the part of the endpoint's answers that are failures. Some endpoints fail the callers of one
    /// failure domain only.
    pub fn failing(&self, now: Moment) -> f64 {
        self.near.part(now).max(self.all.part(now))
    }

    /// Notes that the endpoint could not be reached, or fell silent or broke off.
    pub fn lost(&mut self, now: Moment) {
        self.failed(now);
        let pause = PAUSE.saturating_mul(1 << self.row.min(3));
        self.row += 1;
        self.until = Some(now.after(pause.min(LONGEST_PAUSE)));
    }

    /// Notes that all instances are told that nobody listens at the endpoint's address, by this one or
    /// another. The pause is short and does not double: the endpoint may have started anew.
    pub fn gone(&mut self, now: Moment) {
        self.told = Some(now);
        let until = now.after(PAUSE);
        self.until = Some(self.until.map_or(until, |old| old.max(until)));
    }

    /// Says whether all instances were told so lately that it need not be said again. An own pause says
    /// nothing of that: it also follows a lost answer, of which nobody else hears.
    pub fn is_told_gone(&self, now: Moment) -> bool {
        self.told.is_some_and(|at| now.since(at) < RENEWAL)
    }

    /// Returns when somebody last said that the endpoint is gone, unless it answered since.
    pub const fn told_gone(&self) -> Option<Moment> {
        self.told
    }

    /// Returns the recent failures, older ones with less weight.
    pub fn trouble(&self, now: Moment) -> f64 {
        let age = now.since(self.at).as_secs_f64() / FADE.as_secs_f64();
        self.trouble * (-age).exp()
    }

    /// Says whether the endpoint is left alone for now.
    pub fn is_paused(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
