//! Budget of requests that are sent a second time.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Fraction of the limits that is used; the rest covers requests that arrive in another window
/// than they were counted in.
const USABLE_SHARE: f64 = 0.8;

/// Fleet-wide limits of resends, set by operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResendLimits {
    /// Resends per request in a window.
    pub ratio: f64,
    /// Additional resends per window.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Share of this instance in the resends to one service.
///
/// Without a limit, a service that fails under load gets every request again and with it twice the
/// load, so that a short fault becomes a long one. Each instance may resend a fraction of its own
/// requests and its share of the additional resends. The shares of all instances add up to less
/// than the limits as long as none counts fewer instances than there are.
#[derive(Debug, Clone)]
pub struct ResendBudget {
    limits: ResendLimits,
    requests: VecDeque<Moment>,
    resends: VecDeque<Moment>,
}

impl ResendBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: ResendLimits) -> Self {
        Self { limits, requests: VecDeque::new(), resends: VecDeque::new() }
    }

    /// Records a request.
    pub fn request(&mut self, now: Moment) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Takes a resend out of the budget and returns whether one was left; `instance_count` instances
    /// share the budget.
    pub fn take(&mut self, instance_count: usize, now: Moment) -> bool {
        let is_left = self.allows(instance_count, now);
        if is_left {
            self.resends.push_back(now);
        }
        is_left
    }

    /// Returns whether a resend is left in the budget; `instance_count` instances share it.
    pub fn allows(&mut self, instance_count: usize, now: Moment) -> bool {
        self.remove_expired(now);
        let earned = self.limits.ratio * self.requests.len() as f64;
        let additional = self.limits.extra / instance_count.max(1) as f64;
        (earned + additional) * USABLE_SHARE - self.resends.len() as f64 >= 1.0
    }

    fn remove_expired(&mut self, now: Moment) {
        let window = self.limits.window;
        for times in [&mut self.requests, &mut self.resends] {
            while times.front().is_some_and(|t| now.since(*t) > window) {
                times.pop_front();
            }
        }
    }
}
