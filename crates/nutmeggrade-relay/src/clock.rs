//! Monotonic clock of the process.

use std::time::{Duration, Instant};

use nutmeggrade_core::prelude::*;

/// The only source of [`Moment`]s in a process.
///
/// It keeps running while the process is stopped by a signal, so a frozen instance sees the gap
/// when it resumes. Wall time is never used for a decision.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Sets the time for which the clock has already run.
    #[must_use]
    pub fn with_uptime(mut self, uptime: Duration) -> Self {
        self.start = self.start.checked_sub(uptime).unwrap_or(self.start);
        self
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Moment {
        Moment::new(self.start.elapsed())
    }

    /// Waits until a moment.
    pub async fn until(&self, moment: Moment) {
        tokio::time::sleep_until((self.start + moment.since_start()).into()).await;
    }

    /// Returns the time left until a moment; zero if it has passed.
    pub fn left(&self, moment: Moment) -> Duration {
        moment.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
