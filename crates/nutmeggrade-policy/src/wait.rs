//! How long a request would wait.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Time over which the rate of leaving the queue is averaged: long enough to hold some tens of
/// answers, short enough to follow a failure domain going out.
const WINDOW: Duration = Duration::from_secs(8);
/// Part of the time to spare that a request may be expected to wait. The rest covers the error of
/// the expected length; with all of it, half of those at the queue's end start and don't finish.
const PATIENCE: f64 = 0.8;

/// Rate at which waiting requests of one kind get their place.
///
/// Answers queues longer than deadlines. Whoever waits in vain holds its caller up to the deadline,
/// and often starts just too late to finish, so that under three times the load most answers that
/// engines make are thrown away. The estimate refuses it as it comes, with the time to come back.
#[derive(Debug, Clone, Default)]
pub struct WaitEstimate {
    rate: f64,
    at: Moment,
    began: Option<Moment>,
}

impl WaitEstimate {
    /// Makes an estimate that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that `count` requests got their place, zero included.
    pub fn released(&mut self, count: usize, now: Moment) {
        let passed = now.since(self.at).as_secs_f64();
        let began = *self.began.get_or_insert(now);
        self.at = now;
        if passed <= 0.0 {
            return;
        }
        // Early on the window is the time since the start, or the rate would begin near zero.
        let known = now.since(began).min(WINDOW).as_secs_f64().max(passed);
        let weight = 1.0 - (-passed / known).exp();
        self.rate += weight * (count as f64 / passed - self.rate);
    }

    /// Notes that nobody waits: the rate of leaving an empty queue says nothing of a full one.
    pub fn idle(&mut self, now: Moment) {
        self.at = now;
        self.began = None;
    }

    /// Returns how long a request waits behind `ahead` others; `None` while nothing is known.
    pub fn wait(&self, ahead: usize) -> Option<Duration> {
        let known = self.began.is_some_and(|b| self.at.since(b) >= WINDOW / 4);
        if !known {
            return None;
        }
        let seconds = (ahead as f64 / self.rate.max(1e-3)).min(3_600.0);
        Some(Duration::from_secs_f64(seconds))
    }

    /// Says whether a request that takes `service` can wait so long and finish in the time left.
    pub fn in_time(wait: Duration, service: Duration, left: Duration) -> bool {
        left.checked_sub(service).is_some_and(|spare| wait <= spare.mul_f64(PATIENCE))
    }
}
