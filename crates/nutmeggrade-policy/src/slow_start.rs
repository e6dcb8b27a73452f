//! Ramp-up of engines that return to service.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Initial limit of responses on an engine, over all instances; about the capacity of a cold
/// engine.
const INITIAL_LIMIT: f64 = 3.0;
/// Doublings after which the limit ends; 3 times 2 to the 6th is a full batch.
const DOUBLINGS: f64 = 6.0;

/// Concurrency limit of an engine that was cold or out of service.
///
/// When a whole failure domain returns, its engines are empty, and without a limit every instance
/// would send them all its work at once. The engines would then read prompts instead of generating
/// tokens, their new streams would stall together, and their responses would be of one age and grow
/// at the same time. The limit doubles once per `ramp`, which is about the time until admitted
/// requests show in reports and heartbeats.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowStart {
    began: Option<Moment>,
}

impl SlowStart {
    /// Creates a ramp that has ended.
    pub const fn new() -> Self {
        Self { began: None }
    }

    /// Begins the ramp, or restarts one in progress.
    pub const fn begin(&mut self, now: Moment) {
        self.began = Some(now);
    }

    /// Returns the most responses allowed on the engine; `None` once the ramp is over.
    pub fn limit(&self, ramp: Duration, now: Moment) -> Option<f64> {
        let doublings = now.since(self.began?).as_secs_f64() / ramp.as_secs_f64().max(1e-3);
        if doublings >= DOUBLINGS {
            return None;
        }
        Some(INITIAL_LIMIT * doublings.exp2())
    }
}
