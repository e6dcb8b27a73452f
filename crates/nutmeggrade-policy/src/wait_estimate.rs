//! Estimated wait of queued requests.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Averaging time of the release rate: long enough to include some tens of responses, short enough
/// to follow the loss of a failure domain.
const AVERAGING_TIME: Duration = Duration::from_secs(8);
/// Fraction of the time to spare that the estimated wait may use. The rest covers the error of the
/// expected length; without it, half of the requests at the end of the queue would start and not
/// finish.
const MAX_WAIT_SHARE: f64 = 0.8;

/// Release rate of waiting requests of one kind.
///
/// If queues are longer than deadlines, requests that wait in vain keep their clients waiting up to
/// the deadline and often start slightly too late to finish; at three times the capacity engines
/// would waste most of their work. The estimate lets such a request be refused on arrival, with a
/// retry delay.
#[derive(Debug, Clone, Default)]
pub struct WaitEstimate {
    rate: f64,
    updated_at: Moment,
    started_at: Option<Moment>,
}

impl WaitEstimate {
    /// Creates an estimate without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `count` requests were released, zero included.
    pub fn released(&mut self, count: usize, now: Moment) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let started_at = *self.started_at.get_or_insert(now);
        self.updated_at = now;
        if elapsed <= 0.0 {
            return;
        }
        // Until the averaging time has passed, the average covers the time since the start;
        // otherwise the rate would start near zero.
        let window = now.since(started_at).min(AVERAGING_TIME).as_secs_f64().max(elapsed);
        let weight = 1.0 - (-elapsed / window).exp();
        self.rate += weight * (count as f64 / elapsed - self.rate);
    }

    /// Records that no request waits: the release rate of an empty queue does not apply to a full
    /// one.
    pub fn idle(&mut self, now: Moment) {
        self.updated_at = now;
        self.started_at = None;
    }

    /// Returns the estimated wait behind `ahead` other requests; `None` before there are enough
    /// measurements.
    pub fn wait(&self, ahead: usize) -> Option<Duration> {
        let is_known =
            self.started_at.is_some_and(|at| self.updated_at.since(at) >= AVERAGING_TIME / 4);
        if !is_known {
            return None;
        }
        let seconds = (ahead as f64 / self.rate.max(1e-3)).min(3_600.0);
        Some(Duration::from_secs_f64(seconds))
    }

    /// Returns whether a request with the expected duration `service` can wait this long and finish
    /// in the time left.
    pub fn in_time(wait: Duration, service: Duration, time_left: Duration) -> bool {
        time_left.checked_sub(service).is_some_and(|spare| wait <= spare.mul_f64(MAX_WAIT_SHARE))
    }
}
