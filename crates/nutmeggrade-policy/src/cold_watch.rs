//! Whether an engine that reports to be warm has turned cold.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Steps in a row that must all be slow. A prompt being read slows one to three steps in a row.
const STEPS: u32 = 4;
/// How much slower than usual; engines in cold start are about three times slower, and a batch twice
/// as large not even one and a half times.
const FACTOR: f64 = 2.2;
/// Weight of a step in the usual gap.
const NEW: f64 = 1.0 / 64.0;
/// Steps until the usual gap is known.
const LEARN: u32 = 32;
/// How long the suspicion outlasts the last slow step, if a report contradicts it; a stream that ends
/// must not lift it at once.
const HOLD: Duration = Duration::from_millis(500);

/// Notices from own streams that an engine turned cold, before any report says so.
///
/// Answers a warm engine that restarts or loses its caches without a word. Reports lag by up to
/// seconds, a cold engine falls over under the first request too many, and all its streams are lost.
/// Four slow steps in a row take a sixth of a second.
#[derive(Debug, Clone, Default)]
pub struct ColdWatch {
    usual: f64,
    seen: u32,
    slow: u32,
    last: Moment,
    until: Moment,
}

impl ColdWatch {
    /// Makes a watch that knows no usual gap yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a gap; several streams show the same step at the same time, which counts once.
    pub fn gap(&mut self, gap: Duration, now: Moment) {
        if now == self.last {
            return;
        }
        self.last = now;
        let gap = gap.as_secs_f64();
        if self.seen >= LEARN && gap > self.usual * FACTOR {
            self.slow += 1;
            if self.slow >= STEPS {
                self.until = now.after(HOLD);
            }
            return;
        }
        self.slow = 0;
        self.seen += 1;
        let weight = NEW.max(1.0 / f64::from(self.seen));
        self.usual += weight * (gap - self.usual);
    }

    /// Says whether the engine must be taken for cold.
    pub fn is_suspect(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Returns the usual gap, or what most engines show while nothing is known.
    pub fn usual(&self) -> Duration {
        let known = if self.seen >= LEARN { self.usual } else { 0.015 };
        Duration::from_secs_f64(known)
    }
}
