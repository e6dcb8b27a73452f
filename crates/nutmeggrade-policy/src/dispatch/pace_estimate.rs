//! Weighted average in which older samples count less.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Time constant of the weights' decay. An average covers some 20 s, and follows an endpoint that
/// becomes slow within that time.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Most time constants that are applied at once; the weight never becomes zero.
const MAX_DECAY: f64 = 30.0;
/// Upper bound of a weight, so that no single report outweighs what is measured later.
const MAX_WEIGHT: f64 = 256.0;

/// Time per event in microseconds, weighted by the number of gaps that it is based on.
#[derive(Debug, Clone, Copy)]
pub struct PaceEstimate {
    micros: f64,
    weight: f64,
    updated_at: Moment,
}

impl PaceEstimate {
    /// Creates an estimate from a first sample.
    pub const fn new(micros: f64, gaps: u32, now: Moment) -> Self {
        Self { micros, weight: (gaps as f64).min(MAX_WEIGHT), updated_at: now }
    }

    /// Adds a sample that is based on a number of gaps.
    pub fn add(&mut self, micros: f64, gaps: u32, now: Moment) {
        let old = self.weight(now);
        let new = f64::from(gaps).min(MAX_WEIGHT);
        self.micros = (self.micros * old + micros * new) / (old + new);
        self.weight = (old + new).min(MAX_WEIGHT);
        self.updated_at = now;
    }

    /// Returns the time per event in microseconds.
    pub const fn micros(&self) -> f64 {
        self.micros
    }

    /// Returns the weight that is left.
    pub fn weight(&self, now: Moment) -> f64 {
        let age = self.age(now).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.weight * (-age.min(MAX_DECAY)).exp()
    }

    /// Returns the time since the last sample.
    pub fn age(&self, now: Moment) -> Duration {
        now.since(self.updated_at)
    }
}
