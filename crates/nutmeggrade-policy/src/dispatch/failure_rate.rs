//! The part of an endpoint's answers that are failures.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Time in which an answer loses most of its weight. An endpoint that is avoided is tried again a few times as
/// long after its last failures.
const FADE: Duration = Duration::from_secs(4);
/// Failures, and answers in all, that are assumed before any was counted.
const ASSUMED: (f64, f64) = (0.5, 10.0);

/// The part of an endpoint's answers that are failures, as several instances count them.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    failures: f64,
    answers: f64,
    at: Moment,
}

impl FailureRate {
    /// Notes answers, and how many of them are failures.
    pub fn add(&mut self, (failures, answers): (u32, u32), now: Moment) {
        let left = self.left(now);
        self.failures = self.failures * left + f64::from(failures);
        self.answers = self.answers * left + f64::from(answers);
        self.at = now;
    }

    /// Returns the part that are failures now.
    pub fn part(&self, now: Moment) -> f64 {
        let left = self.left(now);
        (self.failures * left + ASSUMED.0) / (self.answers * left + ASSUMED.1)
    }

    fn left(&self, now: Moment) -> f64 {
        (-(now.since(self.at).as_secs_f64() / FADE.as_secs_f64())).exp()
    }
}
