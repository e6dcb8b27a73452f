//! Bounds how often an event is logged.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Interval between two log lines of an event.
const INTERVAL: Duration = Duration::from_secs(1);

/// Bounds how often an event is logged, since clients can cause it as often as they like.
#[derive(Debug, Default)]
pub struct LogLimiter {
    logged_at: Option<Moment>,
    times: u64,
}

impl LogLimiter {
    /// Counts the event; returns how often it has happened since the last line if a line is due.
    pub fn take(&mut self, now: Moment) -> Option<u64> {
        self.times += 1;
        if self.logged_at.is_some_and(|at| now.since(at) < INTERVAL) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.times))
    }
}
