//! Forecast of when a waiting request finds room.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::{ReleaseRate, Released};

/// Time over which releases are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(2);
/// Number of releases that an average is based on at least. A service with few engines releases
/// memory in lumps that are seconds apart; a short average of these is zero most of the time.
const MIN_RELEASES: u32 = 8;
/// Time over which releases are averaged if fewer were made in [`AVERAGING_TIME`].
const LONG_AVERAGING_TIME: Duration = Duration::from_secs(10);
/// Time that was measured at least before there is a forecast.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(500);
/// Length of the intervals in which releases are summed.
const INTERVAL: Duration = Duration::from_millis(100);
/// Weight of each further release in the mean size of releases.
const SIZE_WEIGHT: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct Interval {
    begun_at: Moment,
    released: Released,
}

/// Rate at which the engines of a service release memory, and the waits that follow from it.
///
/// Under hard load a request that waits in vain costs its client the time in which it could ask
/// again. The rate is measured always: one that is measured only while requests wait is unknown in
/// the first seconds of a burst, when most of them have to be refused.
#[derive(Debug, Clone, Default)]
pub struct RoomForecast {
    intervals: VecDeque<Interval>,
    started_at: Option<Moment>,
    released_at: Moment,
    mean_size: f64,
}

impl RoomForecast {
    /// Creates a forecast without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records memory that was released.
    pub fn record(&mut self, released: Released, now: Moment) {
        if released.memory == 0 || released.count == 0 {
            return;
        }
        self.started_at.get_or_insert(now);
        self.released_at = now;
        let size = released.memory as f64 / f64::from(released.count);
        let weight = if self.mean_size > 0.0 { SIZE_WEIGHT } else { 1.0 };
        self.mean_size += weight * (size - self.mean_size);
        while self.intervals.front().is_some_and(|i| now.since(i.begun_at) >= LONG_AVERAGING_TIME) {
            self.intervals.pop_front();
        }
        match self.intervals.back_mut() {
            Some(last) if now.since(last.begun_at) < INTERVAL => last.released += released,
            _ => self.intervals.push_back(Interval { begun_at: now, released }),
        }
    }

    /// Returns the rate of the releases; `None` before enough was measured.
    ///
    /// The highest rate is one standard deviation of the number of releases above the measured one.
    /// Without a release lately, the next one is expected within the time since the last.
    pub fn rate(&self, now: Moment) -> Option<ReleaseRate> {
        let measured = now.since(self.started_at?);
        if measured < MIN_MEASURED_TIME {
            return None;
        }
        let recent = self.sum(AVERAGING_TIME, now);
        let (released, time) = if recent.count >= MIN_RELEASES {
            (recent, AVERAGING_TIME.min(measured))
        } else {
            let time = LONG_AVERAGING_TIME.min(measured).max(now.since(self.released_at));
            (self.sum(LONG_AVERAGING_TIME, now), time)
        };
        let deviation = f64::from(released.count.saturating_add(1)).sqrt() * self.mean_size;
        let (memory, seconds) = (released.memory as f64, time.as_secs_f64());
        Some(ReleaseRate { measured: memory / seconds, highest: (memory + deviation) / seconds })
    }

    fn sum(&self, time: Duration, now: Moment) -> Released {
        let mut sum = Released::default();
        let recent = self.intervals.iter().rev().take_while(|i| now.since(i.begun_at) < time);
        recent.for_each(|i| sum += i.released);
        sum
    }
}
