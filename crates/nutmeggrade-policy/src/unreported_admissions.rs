//! Admissions of peers that no report or heartbeat shows yet.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Mean age of the state that heartbeats and reports show.
const REPORT_DELAY: Duration = Duration::from_millis(700);

/// Sum of recent admissions of this instance, which decays as reports and heartbeats come to show
/// them.
///
/// When several instances see the same free room in a report, each would fill it, and the next
/// report would send all of them elsewhere. Since requests are spread evenly over instances, each
/// peer admits about as much as this instance: each own admission counts once more for each peer
/// until it shows. All instances together then stay within the room, and one without peers waits a
/// second longer but loses no room.
#[derive(Debug, Clone, Copy, Default)]
pub struct UnreportedAdmissions {
    sum: f64,
    at: Moment,
}

impl UnreportedAdmissions {
    /// Creates an empty sum.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the admission of `amount`.
    pub fn add(&mut self, amount: f64, now: Moment) {
        self.sum = self.estimate(Duration::ZERO, now) + amount;
        self.at = now;
    }

    /// Returns the estimated unreported admissions of one peer, with reports of this age.
    pub fn estimate(&self, age: Duration, now: Moment) -> f64 {
        let time_constant = REPORT_DELAY.max(age).as_secs_f64();
        self.sum * (-now.since(self.at).as_secs_f64() / time_constant).exp()
    }
}
