//! Retry budget for failed attempts.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Retries earned by each new request: if every endpoint fails, load grows by a tenth instead of
/// threefold.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Most retries saved up; as many as are in flight to one endpoint when it dies.
const MAX_TOKENS: f64 = 32.0;
/// Upper bound of the wait before the first retry, which doubles with each further one.
const INITIAL_MAX_WAIT: Duration = Duration::from_millis(20);
/// Longest wait before a retry.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Retry budget as a fraction of new requests.
///
/// Retrying every failed request up to three times triples the load of endpoints that fail under
/// load, so that the fault of one becomes an outage of all. Each retry takes a token that ten new
/// requests have earned, and none is made that can't begin before the deadline. The wait is random,
/// so that requests that failed together are not retried together.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
    rng: ChaCha8Rng,
}

impl RetryBudget {
    /// Creates a full budget whose waits depend on the seed alone.
    pub fn new(seed: u64) -> Self {
        Self { tokens: MAX_TOKENS, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Records a new request.
    pub fn fresh(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes a retry, the first being number 1; returns the wait before it, or `None` if it may not
    /// be made.
    pub fn retry(&mut self, number: u32, time_left: Duration) -> Option<Duration> {
        if self.tokens < 1.0 {
            return None;
        }
        let doublings = number.saturating_sub(1).min(8);
        let max_wait = (INITIAL_MAX_WAIT * 2_u32.pow(doublings)).min(MAX_WAIT);
        let wait = max_wait.mul_f64(self.rng.random_range(0.0..1.0));
        if wait >= time_left {
            return None;
        }
        self.tokens -= 1.0;
        Some(wait)
    }
}
