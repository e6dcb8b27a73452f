//! Failure rate of an endpoint.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Time constant of the decay of a response's weight. An endpoint that is avoided is tried again
/// after a few times as long without failures.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Failures and total responses that are assumed before any was counted.
const PRIOR_COUNTS: (f64, f64) = (0.5, 10.0);

/// Decaying fraction of an endpoint's responses that are failures, as counted by several instances.
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    failures: f64,
    responses: f64,
    updated_at: Moment,
}

impl FailureRate {
    /// Records responses and how many of them are failures.
    pub fn add(&mut self, (failures, responses): (u32, u32), now: Moment) {
        let decay = self.decay(now);
        self.failures = self.failures * decay + f64::from(failures);
        self.responses = self.responses * decay + f64::from(responses);
        self.updated_at = now;
    }

    /// Returns the fraction of responses that are failures at present.
    pub fn value(&self, now: Moment) -> f64 {
        let decay = self.decay(now);
        (self.failures * decay + PRIOR_COUNTS.0) / (self.responses * decay + PRIOR_COUNTS.1)
    }

    fn decay(&self, now: Moment) -> f64 {
        (-(now.since(self.updated_at).as_secs_f64() / DECAY_TIME.as_secs_f64())).exp()
    }
}
