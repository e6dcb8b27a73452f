//! How fast an engine that came back gets its work.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Answers on an engine at the beginning, over all instances; about what a cold one bears.
const FIRST: f64 = 3.0;
/// Doublings after which there is no limit any more; 3 times 2 to the 6th is a full batch.
const DOUBLINGS: f64 = 6.0;

/// Ramp of an engine that was cold or out of service.
///
/// Answers a whole failure domain coming back. Its engines are empty, so that every instance sends
/// them everything at once, prompts are read instead of tokens made, and streams that start there
/// stutter together; all engines of the domain fill with answers of one age, which then grow
/// together. The limit doubles once in the ramp's time, as fast as what was let in shows in reports
/// and heartbeats.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowStart {
    began: Option<Moment>,
}

impl SlowStart {
    /// Makes a ramp that has ended.
    pub const fn new() -> Self {
        Self { began: None }
    }

    /// Begins the ramp, from its start if one is under way.
    pub const fn begin(&mut self, now: Moment) {
        self.began = Some(now);
    }

    /// Returns the most answers on the engine now; `None` once the ramp is over.
    pub fn limit(&self, ramp: Duration, now: Moment) -> Option<f64> {
        let passed = now.since(self.began?).as_secs_f64() / ramp.as_secs_f64().max(1e-3);
        if passed >= DOUBLINGS {
            return None;
        }
        Some(FIRST * passed.exp2())
    }
}
