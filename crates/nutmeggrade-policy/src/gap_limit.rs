//! Concurrency limit of an engine, by the gaps between its tokens.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Upper bound of the limit, as a safeguard only.
const MAX_LIMIT: f64 = 256.0;
/// Fraction of gaps over the target above which the limit falls. Prompts being read lengthen up to
/// a tenth of all gaps on a healthy engine, so that a fifth shows an engine that is too slow.
const MAX_LONG_GAP_SHARE: f64 = 0.2;
/// Weight of a gap in that fraction; an engine with ten own streams is judged within 50 steps.
const GAP_WEIGHT: f64 = 1.0 / 64.0;
/// Least time between two reductions: the longest time until a reduction shows in the gaps.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(500);
/// Factor applied to the limit by a reduction.
const REDUCTION_FACTOR: f64 = 0.7;
/// Increase of the limit by each gap while few gaps are over the target; about one response a
/// second on a busy engine.
const LIMIT_INCREMENT: f64 = 0.02;
/// First wait before a closed engine is probed with one short response.
const INITIAL_PROBE_WAIT: Duration = Duration::from_secs(3);
/// Longest wait before a probe.
const MAX_PROBE_WAIT: Duration = Duration::from_secs(24);

/// AIMD concurrency limit (additive increase, multiplicative decrease) driven by gaps between
/// tokens.
///
/// An engine may become slow, or run more responses than it can decode in time. The number of
/// requests in flight shows this only after its responses have piled up and stall; the gaps show it
/// within a second. A limit below one closes the engine except for a probe of one short response at
/// a time, after increasing waits, which detects its recovery at little cost.
#[derive(Debug, Clone)]
pub struct GapLimit {
    limit: f64,
    long_gaps: f64,
    reduced_at: Moment,
    probe_wait: Duration,
}

impl GapLimit {
    /// Creates a limit at its upper bound.
    pub const fn new() -> Self {
        Self {
            limit: MAX_LIMIT,
            long_gaps: 0.0,
            reduced_at: Moment::ZERO,
            probe_wait: INITIAL_PROBE_WAIT,
        }
    }

    /// Records a gap of an own stream while `running` responses were on the engine.
    pub fn record_gap(&mut self, gap: Duration, target: Duration, running: u32, now: Moment) {
        let over_target = if gap > target { 1.0 } else { 0.0 };
        self.long_gaps += GAP_WEIGHT * (over_target - self.long_gaps);
        if self.long_gaps <= MAX_LONG_GAP_SHARE {
            self.limit = (self.limit + LIMIT_INCREMENT).min(MAX_LIMIT);
            if self.limit >= 1.0 {
                self.probe_wait = INITIAL_PROBE_WAIT;
            }
            return;
        }
        if now.since(self.reduced_at) < REDUCTION_INTERVAL {
            return;
        }
        let was_open = self.limit >= 1.0;
        self.limit = self.limit.min(f64::from(running)) * REDUCTION_FACTOR;
        self.reduced_at = now;
        if !was_open {
            self.probe_wait = (self.probe_wait * 2).min(MAX_PROBE_WAIT);
        }
    }

    /// Returns whether one more response may start beside `running`; on a closed engine only a
    /// `short` one, as a probe.
    pub fn allows(&self, running: u32, short: bool, own: usize, now: Moment) -> bool {
        if self.limit >= 1.0 {
            return f64::from(running) < self.limit;
        }
        short && own == 0 && now.since(self.reduced_at) >= self.probe_wait
    }

    /// Reopens the engine, as after a cold start, which makes earlier measurements obsolete.
    pub fn reset(&mut self) {
        *self = Self::new();
    }
}

impl Default for GapLimit {
    fn default() -> Self {
        Self::new()
    }
}
