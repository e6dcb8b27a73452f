//! Gaps between the events of a stream.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Gaps between the events of a stream as they arrive from its endpoints.
#[derive(Debug)]
pub struct EventGaps {
    /// Longest gap that is in time; `None` without such a limit.
    limit: Option<Duration>,
    last_at: Option<Moment>,
    events: u64,
    longest: Duration,
    late: u64,
    has_moved: bool,
}

impl EventGaps {
    /// Creates a record of a stream without events.
    pub const fn new(limit: Option<Duration>) -> Self {
        let (last_at, longest) = (None, Duration::ZERO);
        Self { limit, last_at, events: 0, longest, late: 0, has_moved: false }
    }

    /// Records that the stream has `events` events now; returns the time per event since the last
    /// call if one endpoint generated these events.
    pub fn record(&mut self, events: u64, now: Moment) -> Option<Duration> {
        let count = events.saturating_sub(self.events);
        if count == 0 {
            return None;
        }
        self.events = events;
        let gap = now.since(self.last_at.replace(now)?);
        self.longest = self.longest.max(gap);
        if self.limit.is_some_and(|limit| gap > limit) {
            self.late += 1;
        }
        let has_moved = std::mem::take(&mut self.has_moved);
        (!has_moved).then(|| gap.div_f64(count as f64))
    }

    /// Records that another endpoint continues the stream. The next gap is no measure of it.
    pub const fn change_endpoint(&mut self) {
        self.has_moved = true;
    }

    /// Returns the longest gap so far.
    pub const fn longest(&self) -> Duration {
        self.longest
    }

    /// Returns the number of gaps over the limit.
    pub const fn late(&self) -> u64 {
        self.late
    }
}
