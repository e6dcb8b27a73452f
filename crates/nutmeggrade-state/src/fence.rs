//! Whether this instance may still take new work.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Stops new work on an instance that can't know what operators took out.
///
/// An instance cut off from the platform and from every peer keeps an old configuration in force
/// and would send work into a failure domain that was taken out; one would notice requests in that
/// domain's engines after the change. After `limit` without a word from either side it refuses new
/// work. A frozen process that wakes sees the gap on its monotonic clock before it sends anything.
#[derive(Debug)]
pub struct Fence {
    limit: Duration,
    heard: Option<Moment>,
}

impl Fence {
    /// Makes a fence that is closed until something is heard.
    pub const fn new(limit: Duration) -> Self {
        Self { limit, heard: None }
    }

    /// Notes a word from the platform, or from a peer that hears the platform or other peers.
    pub fn hear(&mut self, now: Moment) {
        self.heard = self.heard.max(Some(now));
    }

    /// Says whether new work must be refused.
    pub fn is_closed(&self, now: Moment) -> bool {
        self.heard.is_none_or(|at| now.since(at) > self.limit)
    }
}
