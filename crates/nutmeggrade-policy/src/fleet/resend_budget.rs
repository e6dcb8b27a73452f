//! How often requests may be sent a second time.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Part of the allowance that is used; the rest covers requests that arrive in another window than
/// they were counted in.
const USED: f64 = 0.8;

/// What operators allow all instances together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    /// Second sends for each request of a window.
    pub ratio: f64,
    /// Further ones in each window.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

/// This instance's part of the second sends to one service.
///
/// Answers a service that fails under load: when every request is sent again the load doubles just
/// then, and one notices that a short fault becomes a long one. Each instance may send again a part
/// of its own requests, and its part of what is allowed beyond that. The parts of all add up to less
/// than the allowance as long as nobody counts fewer instances than there are.
#[derive(Debug, Clone)]
pub struct ResendBudget {
    allowance: Allowance,
    requests: VecDeque<Moment>,
    resends: VecDeque<Moment>,
}

impl ResendBudget {
    /// Makes a budget of which nothing is used.
    pub fn new(allowance: Allowance) -> Self {
        Self { allowance, requests: VecDeque::new(), resends: VecDeque::new() }
    }

    /// Notes a request.
    pub fn request(&mut self, now: Moment) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one second send out of the budget, if one is left; `sharers` is the number of instances.
    pub fn take(&mut self, sharers: usize, now: Moment) -> bool {
        self.forget(now);
        let earned = self.allowance.ratio * self.requests.len() as f64;
        let given = self.allowance.extra / sharers.max(1) as f64;
        let left = (earned + given) * USED - self.resends.len() as f64;
        if left < 1.0 {
            return false;
        }
        self.resends.push_back(now);
        true
    }

    fn forget(&mut self, now: Moment) {
        let window = self.allowance.window;
        for times in [&mut self.requests, &mut self.resends] {
            while times.front().is_some_and(|t| now.since(*t) > window) {
                times.pop_front();
            }
        }
    }
}
