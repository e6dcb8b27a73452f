//! How many answers an engine may run, by the gaps between its tokens.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Most answers ever let on an engine; a guard, not a guess.
const HIGHEST: f64 = 256.0;
/// Share of gaps over the target above which the limit falls. Prompts being read lengthen up to a
/// tenth of all gaps on a healthy engine, so a fifth tells of an engine that is too slow.
const TOO_MANY: f64 = 0.2;
/// Weight of a gap in that share; an engine with ten own streams is judged within 50 steps.
const NEW: f64 = 1.0 / 64.0;
/// Between two cuts: the longest time until a cut shows in the gaps.
const SETTLE: Duration = Duration::from_millis(500);
/// What a cut leaves.
const CUT: f64 = 0.7;
/// What a step within the target adds; about one answer a second on a busy engine.
const GROW: f64 = 0.02;
/// First wait before a closed engine is tried with one short answer.
const FIRST_PROBE: Duration = Duration::from_secs(3);
/// Longest such wait.
const LAST_PROBE: Duration = Duration::from_secs(24);

/// Limit of an engine that falls by a factor while gaps are long and grows by steps while not.
///
/// Answers an engine that has become slow, and more answers on one than it decodes in time. Counting
/// what is in flight finds a slow engine only when its answers have piled up, each one stuttering.
/// Gaps show it within a second. A limit that has fallen below one closes the engine but for one
/// short answer at a time, after ever longer waits, so that its recovery is seen at little cost.
#[derive(Debug, Clone)]
pub struct GapLimit {
    limit: f64,
    long: f64,
    cut: Moment,
    probe: Duration,
}

impl GapLimit {
    /// Makes a limit that nothing has lowered yet.
    pub const fn new() -> Self {
        Self { limit: HIGHEST, long: 0.0, cut: Moment::ZERO, probe: FIRST_PROBE }
    }

    /// Notes a gap of an own stream while `running` answers were on the engine.
    pub fn gap(&mut self, gap: Duration, target: Duration, running: u32, now: Moment) {
        let long = if gap > target { 1.0 } else { 0.0 };
        self.long += NEW * (long - self.long);
        if self.long <= TOO_MANY {
            self.limit = (self.limit + GROW).min(HIGHEST);
            if self.limit >= 1.0 {
                self.probe = FIRST_PROBE;
            }
            return;
        }
        if now.since(self.cut) < SETTLE {
            return;
        }
        let was_open = self.limit >= 1.0;
        self.limit = self.limit.min(f64::from(running)) * CUT;
        self.cut = now;
        if !was_open {
            self.probe = (self.probe * 2).min(LAST_PROBE);
        }
    }

    /// Says whether one more answer may start beside `running`; `short` ones also as a probe.
    pub fn allows(&self, running: u32, short: bool, own: usize, now: Moment) -> bool {
        if self.limit >= 1.0 {
            return f64::from(running) < self.limit;
        }
        short && own == 0 && now.since(self.cut) >= self.probe
    }

    /// Opens the engine again, as after a cold start: what was seen before says nothing of it.
    pub fn reset(&mut self) {
        *self = Self::new();
    }
}

impl Default for GapLimit {
    fn default() -> Self {
        Self::new()
    }
}
