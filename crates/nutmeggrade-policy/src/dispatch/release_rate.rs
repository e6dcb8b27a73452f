//! Rate at which memory is released.

use std::time::Duration;

/// Longest wait that is computed.
const MAX_WAIT: Duration = Duration::from_hours(1);

/// Memory that the engines of a service release per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReleaseRate {
    /// The measured rate.
    pub measured: f64,
    /// The highest rate that fits the measurement.
    ///
    /// A wait that is forecast too long costs a client its answer, one that is forecast too short
    /// costs it a wait, so waits are computed with this rate.
    pub highest: f64,
}

impl ReleaseRate {
    /// Returns the time in which `memory` is released.
    pub fn wait(&self, memory: f64) -> Duration {
        if memory <= 0.0 {
            return Duration::ZERO;
        }
        let wait = memory / self.highest;
        if wait < MAX_WAIT.as_secs_f64() { Duration::from_secs_f64(wait) } else { MAX_WAIT }
    }
}
