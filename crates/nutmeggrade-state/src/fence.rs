//! Whether this instance may still take new work.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Stops new work on an instance that can't know what operators took out.
///
/// An instance cut off from the platform and from most peers keeps an old configuration in force
/// and would send work into a failure domain that was taken out; one would notice requests in that
/// domain's engines after the change. Only two words count: an answer of the platform about the
/// configuration, as of the moment at which it was asked for, and being together with more than half
/// of the instances, as of the own heartbeats that they answered. In an outage of the platform all
/// instances hear each other and go on; a few that were cut off together stop. After `limit` without
/// either, new work is refused. A frozen process that wakes sees the gap on its monotonic clock
/// before it sends anything, and no word that lay in a buffer meanwhile opens the fence again.
#[derive(Debug)]
pub struct Fence {
    limit: Duration,
    platform: Option<Moment>,
    peers: Option<Moment>,
}

impl Fence {
    /// Makes a fence that is closed until something is heard.
    pub const fn new(limit: Duration) -> Self {
        Self { limit, platform: None, peers: None }
    }

    /// Notes that the platform answered a question about the configuration asked at `asked`.
    pub fn hear_platform(&mut self, asked: Moment) {
        self.platform = self.platform.max(Some(asked));
    }

    /// Notes that this instance was together with most others as of `as_of`.
    pub fn hear_peers(&mut self, as_of: Option<Moment>) {
        self.peers = self.peers.max(as_of);
    }

    /// Returns as of when the platform was last heard.
    pub const fn platform(&self) -> Option<Moment> {
        self.platform
    }

    /// Says whether new work must be refused.
    pub fn is_closed(&self, now: Moment) -> bool {
        let heard = self.platform.max(self.peers);
        heard.is_none_or(|at| now.since(at) > self.limit)
    }
}
