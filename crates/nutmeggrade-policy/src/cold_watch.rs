//! Detection of engines that turn cold while their reports still show them as warm.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Consecutive steps that must all be slow. A prompt being read slows one to three consecutive
/// steps.
const MIN_SLOW_STEPS: u32 = 4;
/// Gap, as a multiple of the mean, above which a step counts as slow. Engines in cold start are
/// about three times slower; doubling the batch slows an engine less than one and a half times.
const SLOW_STEP_FACTOR: f64 = 2.2;
/// Weight of a step in the mean gap.
const STEP_WEIGHT: f64 = 1.0 / 64.0;
/// Steps measured before the mean gap is used.
const MIN_MEASURED_STEPS: u32 = 32;
/// Time for which the suspicion outlasts the last slow step if a report contradicts it; the end of
/// a stream must not clear it at once.
const SUSPICION_TTL: Duration = Duration::from_millis(500);

/// Detects from this instance's streams that an engine turned cold, before any report shows it.
///
/// A warm engine may restart or lose its caches without notice. Reports lag by up to seconds, and a
/// cold engine crashes at the first request above its limit and loses all its streams. Four
/// consecutive slow steps take a sixth of a second.
#[derive(Debug, Clone, Default)]
pub struct ColdWatch {
    mean_gap: f64,
    measured_steps: u32,
    slow_steps: u32,
    last_step: Moment,
    suspect_until: Moment,
}

impl ColdWatch {
    /// Creates a detector without measurements.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a gap. Several streams show the same step at the same time, which counts once.
    pub fn record_gap(&mut self, gap: Duration, now: Moment) {
        if now == self.last_step {
            return;
        }
        self.last_step = now;
        let gap = gap.as_secs_f64();
        if self.measured_steps >= MIN_MEASURED_STEPS && gap > self.mean_gap * SLOW_STEP_FACTOR {
            self.slow_steps += 1;
            if self.slow_steps >= MIN_SLOW_STEPS {
                self.suspect_until = now.after(SUSPICION_TTL);
            }
            return;
        }
        self.slow_steps = 0;
        self.measured_steps += 1;
        let weight = STEP_WEIGHT.max(1.0 / f64::from(self.measured_steps));
        self.mean_gap += weight * (gap - self.mean_gap);
    }

    /// Returns whether the engine must be treated as cold.
    pub fn is_suspect(&self, now: Moment) -> bool {
        now < self.suspect_until
    }

    /// Returns the mean gap; until enough steps have been measured, the 15 ms of most engines.
    pub fn mean_gap(&self) -> Duration {
        let seconds = if self.measured_steps >= MIN_MEASURED_STEPS { self.mean_gap } else { 0.015 };
        Duration::from_secs_f64(seconds)
    }
}
