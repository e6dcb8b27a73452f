//! The process's monotonic clock.

use std::time::Instant;

use nutmeggrade_core::prelude::*;

/// The only source of [`Moment`]s in a process.
///
/// It goes on while the process is stopped by a signal, so a frozen instance sees the gap when it
/// wakes; wall time is never used for a decision.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Moment {
        Moment::new(self.start.elapsed())
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
