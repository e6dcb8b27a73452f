//! Rate limit of requests to a cold endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Window of the rate limit: the second for which operators set the bound, and a tenth more for
/// requests that were delayed on their way and arrive together with later ones.
const RATE_WINDOW: Duration = Duration::from_millis(1_100);
/// Tenths of the bound that are used; instances that have just started may not yet count all
/// others.
const USED_TENTHS: u32 = 7;

/// Share of this instance in the requests that a cold endpoint may get in a second.
///
/// Every instance sees an endpoint that has just started as empty. If all sent requests to it at
/// once, it would crash and restart repeatedly. Each instance gets an equal share of the endpoint's
/// capacity. Where that is less than one request, only as many instances send as requests are
/// allowed.
#[derive(Debug, Clone, Default)]
pub struct ColdShare {
    sent: VecDeque<Moment>,
}

impl ColdShare {
    /// Creates a share of which nothing is used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that was sent.
    pub fn record_sent(&mut self, now: Moment) {
        self.remove_expired(now);
        self.sent.push_back(now);
    }

    /// Returns how many requests may be sent at present. `bound` is the number that the endpoint
    /// may get per second from all instances, `rank` the position of this instance among the
    /// `instance_count` that send to this endpoint.
    pub fn remaining(
        &mut self,
        bound: u32,
        rank: usize,
        instance_count: usize,
        now: Moment,
    ) -> u32 {
        self.remove_expired(now);
        let usable = usize::try_from(bound / 10 * USED_TENTHS).unwrap_or(usize::MAX).max(1);
        let share = match usable / instance_count.max(1) {
            0 => usize::from(rank < usable),
            share => share,
        };
        u32::try_from(share.saturating_sub(self.sent.len())).unwrap_or(u32::MAX)
    }

    fn remove_expired(&mut self, now: Moment) {
        while self.sent.front().is_some_and(|t| now.since(*t) > RATE_WINDOW) {
            self.sent.pop_front();
        }
    }
}
