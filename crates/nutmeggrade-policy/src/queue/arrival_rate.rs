//! Rate at which memory is requested.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Averaging time; the rate follows a change within a second.
const AVERAGING_TIME: Duration = Duration::from_millis(700);

/// Memory of the requests that arrive per second, averaged exponentially.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalRate {
    per_second: f64,
    updated_at: Moment,
}

impl ArrivalRate {
    /// Creates a rate of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the arrival of a request with this much memory.
    pub fn record(&mut self, memory: u64, now: Moment) {
        self.per_second = self.at(now) + memory as f64 / AVERAGING_TIME.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the memory that arrives per second.
    pub fn at(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
