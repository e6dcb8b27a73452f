//! Waiting and recent requests of one priority.

use nutmeggrade_core::prelude::*;

/// Waiting and recent requests of one service and priority, at one or more instances.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BacklogLevel {
    /// Number of waiting requests.
    pub count: u64,
    /// Memory that they will use.
    pub memory: u64,
    /// Memory that arrives per second.
    pub rate: u64,
    /// Memory that placed requests hold.
    pub held: u64,
    /// Earliest start deadline of the waiting requests.
    pub earliest: Option<Moment>,
}

impl BacklogLevel {
    /// Adds the requests of another instance or priority.
    pub fn add(&mut self, other: &Self) {
        self.count = self.count.saturating_add(other.count);
        self.memory = self.memory.saturating_add(other.memory);
        self.rate = self.rate.saturating_add(other.rate);
        self.held = self.held.saturating_add(other.held);
        self.earliest = self.earliest.into_iter().chain(other.earliest).min();
    }

    /// Returns the mean memory of the waiting requests, if any wait.
    pub fn mean_size(&self) -> Option<u64> {
        self.memory.checked_div(self.count)
    }
}
