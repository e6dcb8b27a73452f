//! The next request to an endpoint that doesn't take all requests.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Time by which a request may be early if earlier turns were not used in time. Waiting requests
/// are released ten times a second; without it, a limit above that rate would not be reached.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// When an instance may send its next request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// The earliest moment.
    pub next: Moment,
    /// The interval between two requests.
    pub interval: Duration,
}

impl Turn {
    /// Returns whether a request may be sent.
    pub fn is_open(&self, now: Moment) -> bool {
        self.next <= now
    }

    /// Records a request, also one that had no turn; the next one waits accordingly longer.
    pub fn take(&mut self, now: Moment) {
        let earliest = Moment::new(now.since_start().saturating_sub(CATCH_UP_TIME));
        self.next = self.next.max(earliest).after(self.interval);
    }

    /// Returns the turn that satisfies both.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        Self { next: self.next.max(other.next), interval: self.interval.max(other.interval) }
    }

    /// Returns the requests per second.
    pub fn rate(&self) -> f64 {
        1.0 / self.interval.as_secs_f64().max(1e-6)
    }
}
