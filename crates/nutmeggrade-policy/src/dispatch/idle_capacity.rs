//! Free capacity that stays unused.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Time after which free capacity counts as unused. Waiting requests are released ten times a
/// second, so that they get it at the second release after it became free.
const IDLE_TIME: Duration = Duration::from_millis(50);
/// Longest time between two observations after which the earlier one still counts.
const MAX_GAP: Duration = Duration::from_millis(150);

/// Least free capacity of an endpoint since some moment.
#[derive(Debug, Clone, Copy, Default)]
struct Least {
    capacity: u64,
    since: Moment,
}

/// Free capacity of one endpoint that has stayed unused for a twentieth of a second or more.
///
/// Capacity is kept free for urgent requests by reports and rates that may be stale or wrong. What
/// they don't use within that time is given to whichever request waits.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdleCapacity {
    current: Least,
    next: Least,
    observed_at: Moment,
}

impl IdleCapacity {
    /// Starts with an endpoint's free capacity at present.
    pub const fn new(free: u64, now: Moment) -> Self {
        let least = Least { capacity: free, since: now };
        Self { current: least, next: least, observed_at: now }
    }

    /// Records the endpoint's free capacity.
    pub fn observe(&mut self, free: u64, now: Moment) {
        if now.since(self.observed_at) > MAX_GAP {
            *self = Self::new(free, now);
            return;
        }
        self.observed_at = now;
        self.current.capacity = self.current.capacity.min(free);
        self.next.capacity = self.next.capacity.min(free);
        if now.since(self.next.since) >= IDLE_TIME {
            self.current = self.next;
            self.next = Least { capacity: free, since: now };
        }
    }

    /// Takes a placed request off.
    pub const fn take(&mut self, units: u64) {
        self.current.capacity = self.current.capacity.saturating_sub(units);
        self.next.capacity = self.next.capacity.saturating_sub(units);
    }

    /// Returns whether the last observation still counts.
    pub fn is_current(&self, now: Moment) -> bool {
        now.since(self.observed_at) <= MAX_GAP
    }

    /// Returns the capacity that stayed unused.
    pub fn unused(&self, now: Moment) -> u64 {
        if now.since(self.current.since) >= IDLE_TIME { self.current.capacity } else { 0 }
    }
}
