//! When the refused come back.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Spreads the times at which refused callers return.
///
/// Answers saturation: thousands are refused in the same second. Told the same wait they return in
/// one wave and saturate the system again, which one sees as refusals that pulse with the wait's
/// period. Each gets a wait between the base and twice the base; a factor of two flattens the wave to
/// half its height while nobody waits much longer than the load needs.
#[derive(Debug)]
pub struct Spread {
    rng: ChaCha8Rng,
}

impl Spread {
    /// Makes a spread that depends on the seed alone.
    pub fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Draws a wait between `base` and twice `base`.
    pub fn draw(&mut self, base: Duration) -> Duration {
        base.mul_f64(self.rng.random_range(1.0..2.0))
    }
}
