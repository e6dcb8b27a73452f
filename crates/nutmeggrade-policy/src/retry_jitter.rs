//! Randomized retry delays of refused requests.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Randomizes retry delays to avoid synchronized retries.
///
/// Under saturation thousands of requests are refused in the same second. With equal delays they
/// return in one wave and saturate the system again, which shows as refusals that recur with the
/// period of the delay. Each gets a delay between the base and twice the base; a factor of two
/// halves the height of the wave without much longer waits.
#[derive(Debug)]
pub struct RetryJitter {
    rng: ChaCha8Rng,
}

impl RetryJitter {
    /// Creates a generator of delays that depends on the seed alone.
    pub fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Draws a delay between `base` and twice `base`.
    pub fn draw(&mut self, base: Duration) -> Duration {
        base.mul_f64(self.rng.random_range(1.0..2.0))
    }
}
