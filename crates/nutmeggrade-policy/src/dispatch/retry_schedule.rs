//! Retry times of refused requests.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{DispatchRequest, RefusedCounts};

/// Memory of the retries due in a second, as a multiple of the memory that is released in it. Some
/// clients don't return.
const MAX_BOOKED_SHARE: f64 = 1.2;
/// The same for requests that are refused beside more urgent ones, which get the rest.
const LESS_URGENT_SHARE: f64 = 1.0;
/// Longest retry delay as a share of the client's time left; clients ignore more.
const MAX_DELAY_SHARE: f64 = 1.0 / 3.0;
/// Earliest retry, as a share of the longest delay, of a client for which there is no room in time.
const MIN_LATE_SHARE: f64 = 0.5;
/// Shortest retry delay. A shorter one only repeats the refusal.
const MIN_DELAY: Duration = Duration::from_millis(50);
/// Longest retry delay, which bounds the memory of the schedule.
const MAX_DELAY: Duration = Duration::from_hours(1);
/// Number of seconds that are searched in each direction, which bounds the time of a refusal.
const MAX_SEARCHED_SECONDS: usize = 120;

/// Retry times of the refused requests of a service.
///
/// Retries that come faster than capacity becomes free are refused again, and each refusal costs
/// the client a part of its time. The delays are therefore booked against the capacity of each
/// second, urgent requests and those with little time left first.
#[derive(Debug, Clone, Default)]
pub struct RetrySchedule {
    /// Memory of the retries due in each second.
    booked: BTreeMap<u64, u64>,
    refused: RefusedCounts,
}

impl RetrySchedule {
    /// Creates a schedule without retries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the longest delay for a client that has this time left.
    pub fn longest(time_left: Duration) -> Duration {
        time_left.mul_f64(MAX_DELAY_SHARE)
    }

    /// Books a retry of a refused request, for which room is expected after `room_in`. `rate` is the
    /// memory released per second for retries that this instance books.
    pub fn book(
        &mut self,
        request: &DispatchRequest,
        room_in: Duration,
        rate: f64,
        rng: &mut ChaCha8Rng,
        now: Moment,
    ) -> Duration {
        let left = request.deadline.since(now);
        self.refused.count(request.memory, request.priority, left, now);
        let (before, equal) = self.refused.before(request.priority, left, now);
        let backlog = before as f64 + equal as f64 * rng.random::<f64>();
        let latest = Self::longest(left).min(MAX_DELAY);
        let first = room_in.max(MIN_DELAY);
        let earliest = if first < latest { first } else { latest.mul_f64(MIN_LATE_SHARE) };
        let backlog_time = (backlog / rate.max(1.0)).min(MAX_DELAY.as_secs_f64());
        let best = (first + Duration::from_secs_f64(backlog_time)).clamp(earliest, latest);
        self.booked = self.booked.split_off(&second(now));
        let seconds = [earliest, best, latest].map(|delay| second(now.after(delay)));
        let share = if before > 0 { LESS_URGENT_SHARE } else { MAX_BOOKED_SHARE };
        let found = self.find(request.memory, seconds, rate * share, rng);
        let start = now.since_start();
        let (from, to) = found.map_or((earliest, latest), |found| {
            let from = Duration::from_secs(found).saturating_sub(start);
            (
                from.max(earliest),
                Duration::from_secs(found.saturating_add(1)).saturating_sub(start).min(latest),
            )
        });
        let delay = from + to.saturating_sub(from).mul_f64(rng.random::<f64>());
        let booked = self.booked.entry(second(now.after(delay))).or_default();
        *booked = booked.saturating_add(request.memory);
        delay
    }

    /// Finds a second with capacity: the first after the best one, or else the last before.
    fn find(
        &self,
        memory: u64,
        [earliest, best, latest]: [u64; 3],
        capacity: f64,
        rng: &mut ChaCha8Rng,
    ) -> Option<u64> {
        let mut is_free = |second: &u64| match self.booked.get(second) {
            Some(booked) => booked.saturating_add(memory) as f64 <= capacity,
            // A service that releases less than a request in a second gets one in some seconds.
            None => rng.random::<f64>() * (memory as f64) < capacity,
        };
        (best..=latest)
            .take(MAX_SEARCHED_SECONDS)
            .find(&mut is_free)
            .or_else(|| (earliest..best).rev().take(MAX_SEARCHED_SECONDS).find(is_free))
    }
}

fn second(moment: Moment) -> u64 {
    moment.since_start().as_secs()
}
