//! How much this instance may send to a cold endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// The time over which operators bound what a cold endpoint gets, with a tenth for requests that
/// were held up on their way and arrive together with later ones.
const SECOND: Duration = Duration::from_millis(1_100);
/// Tenths of the bound that are used; instances that have just started count too few others.
const USED: u32 = 7;

/// This instance's part of the requests that a cold endpoint may get in a second.
///
/// Answers an endpoint that has just started: every instance sees it empty, all send to it, and it
/// falls over, which one notices as restarts that never end. Each instance takes an equal part of
/// what the endpoint bears. Where that is less than one request, only as many instances send as
/// requests are borne.
#[derive(Debug, Clone, Default)]
pub struct ColdShare {
    sent: VecDeque<Moment>,
}

impl ColdShare {
    /// Makes a share of which nothing is used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request that was sent.
    pub fn sent(&mut self, now: Moment) {
        self.forget(now);
        self.sent.push_back(now);
    }

    /// Returns how many requests may be sent now. `bound` is what the endpoint may get in a second
    /// from everybody, `rank` the place of this instance among `sharers` for this endpoint.
    pub fn left(&mut self, bound: u32, rank: usize, sharers: usize, now: Moment) -> u32 {
        self.forget(now);
        let usable = usize::try_from(bound / 10 * USED).unwrap_or(usize::MAX).max(1);
        let share = match usable / sharers.max(1) {
            0 => usize::from(rank < usable),
            share => share,
        };
        u32::try_from(share.saturating_sub(self.sent.len())).unwrap_or(u32::MAX)
    }

    fn forget(&mut self, now: Moment) {
        while self.sent.front().is_some_and(|t| now.since(*t) > SECOND) {
            self.sent.pop_front();
        }
    }
}
