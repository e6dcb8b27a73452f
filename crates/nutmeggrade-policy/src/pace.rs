//! Expected duration of responses.

use std::time::Duration;

/// Time per token before any response has ended: between that of an engine with few and with many
/// generations.
const INITIAL_TOKEN_TIME: Duration = Duration::from_millis(10);
/// Weight of each further response; the average covers some tens of responses.
const RESPONSE_WEIGHT: f64 = 0.05;
/// Factor applied to the expected length. A client's estimate is accurate at the median only:
/// without a margin half of the responses would take longer.
const LENGTH_MARGIN: f64 = 1.5;

/// Average time per token of responses, from the request to the last token.
///
/// A stopping instance would cut a long response that begins just before the end, with most of its
/// work done. The pace shows at the start that the response will not end in time, so that its
/// client can begin at another instance at once.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    token_time: Duration,
}

impl Pace {
    /// Creates a pace without measurements.
    pub const fn new() -> Self {
        Self { token_time: INITIAL_TOKEN_TIME }
    }

    /// Records the duration of a response of `tokens` tokens.
    pub fn ended(&mut self, tokens: u64, took: Duration) {
        if tokens == 0 {
            return;
        }
        let token_time = took.div_f64(tokens as f64);
        self.token_time =
            self.token_time.mul_f64(1.0 - RESPONSE_WEIGHT) + token_time.mul_f64(RESPONSE_WEIGHT);
    }

    /// Returns the time within which a response probably ends that is expected to have `tokens`
    /// tokens, and `max_tokens` at most. A response that was begun would be cut if it is longer than
    /// expected, while one that was not can begin elsewhere at once, so the maximum counts.
    pub fn time(&self, tokens: u64, max_tokens: u64) -> Duration {
        let tokens = (tokens as f64 * LENGTH_MARGIN).max(max_tokens as f64);
        self.token_time.mul_f64(tokens)
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::new()
    }
}
