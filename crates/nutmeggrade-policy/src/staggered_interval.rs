//! Times of periodic work that instances must not do in the same moment.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Largest deviation of one wait from the interval, as a fraction of it.
const MAX_DEVIATION: f64 = 0.1;

/// Waits of about an interval, with a random phase.
///
/// Instances that start together release their waiting requests in the same milliseconds, before
/// their placements reach each other: each of eleven instances gave the room that had come free on
/// one engine to a request of its own, and the engine kept ten of them waiting for up to 12 s.
#[derive(Debug)]
pub struct StaggeredInterval {
    interval: Duration,
    is_started: bool,
    rng: ChaCha8Rng,
}

impl StaggeredInterval {
    /// Creates the waits of one instance, which depend on the seed alone.
    pub fn new(interval: Duration, seed: u64) -> Self {
        Self { interval, is_started: false, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Returns the time to the next run: up to one interval at first, later about the interval.
    pub fn next_wait(&mut self) -> Duration {
        let range =
            if self.is_started { 1.0 - MAX_DEVIATION..1.0 + MAX_DEVIATION } else { 0.0..1.0 };
        self.is_started = true;
        self.interval.mul_f64(self.rng.random_range(range))
    }
}
