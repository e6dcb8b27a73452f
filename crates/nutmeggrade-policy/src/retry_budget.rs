//! Whether a failed attempt may be tried again.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Retries earned by each fresh request: when every endpoint fails, load grows by a tenth, not
/// threefold.
const EARNED: f64 = 0.1;
/// Most retries saved up; as many as are in flight to one endpoint when it dies.
const SAVED: f64 = 32.0;
/// Base of the wait before the first retry.
const BASE: Duration = Duration::from_millis(20);
/// Longest wait before a retry.
const LONGEST: Duration = Duration::from_millis(500);

/// Budget of retries, a share of fresh requests.
///
/// Answers endpoints that fail under load. Retrying everything up to three times triples the load
/// just then, and what was one endpoint's fault becomes an outage of all. Each retry takes a token
/// that ten fresh requests have earned; none starts that can't begin before the deadline; the wait
/// is drawn at random, so that those which failed together don't return together.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    rng: ChaCha8Rng,
}

impl RetryBudget {
    /// Makes a full budget whose waits depend on the seed alone.
    pub fn new(seed: u64) -> Self {
        Self { tokens: SAVED, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Notes a fresh request.
    pub fn fresh(&mut self) {
        self.tokens = (self.tokens + EARNED).min(SAVED);
    }

    /// Takes a retry, the first being number 1; returns the wait before it, or `None` if it may not
    /// be made.
    pub fn retry(&mut self, number: u32, left: Duration) -> Option<Duration> {
        if self.tokens < 1.0 {
            return None;
        }
        let doublings = number.saturating_sub(1).min(8);
        let most = (BASE * 2_u32.pow(doublings)).min(LONGEST);
        let wait = most.mul_f64(self.rng.random_range(0.0..1.0));
        if wait >= left {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }
}
