//! Expected duration of responses.

use std::time::Duration;

/// Time per token before any response has ended: between that of an engine with few and with many
/// generations.
const INITIAL_TOKEN_TIME: Duration = Duration::from_millis(10);
/// Time per token of a prompt before any was read.
const INITIAL_PROMPT_TIME: Duration = Duration::from_micros(100);
/// Factor applied to the time in which a prompt is probably read: an engine has kept parts of some
/// prompts, and reads the others beside more work.
const PROMPT_MARGIN: f64 = 2.0;
/// Weight of each further response; the average covers some tens of responses.
const RESPONSE_WEIGHT: f64 = 0.05;
/// Factor applied to the expected length. A client's estimate is accurate at the median only:
/// without a margin half of the responses would take longer.
const LENGTH_MARGIN: f64 = 1.5;

/// Average times per token of prompts, from the request to the first token, and of responses, from the
/// request to the last token.
///
/// A stopping instance would cut a long response that begins just before the end, with most of its
/// work done. The pace shows at the start that the response will not end in time, so that its
/// client can begin at another instance at once.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    token_time: Duration,
    prompt_time: Duration,
}

impl Pace {
    /// Creates a pace without measurements.
    pub const fn new() -> Self {
        Self { token_time: INITIAL_TOKEN_TIME, prompt_time: INITIAL_PROMPT_TIME }
    }

    /// Records the duration of a response of `tokens` tokens.
    pub fn ended(&mut self, tokens: u64, took: Duration) {
        record(&mut self.token_time, tokens, took);
    }

    /// Records the time from a request with a prompt of `tokens` tokens to its first token.
    pub fn prompt_read(&mut self, tokens: u64, took: Duration) {
        record(&mut self.prompt_time, tokens, took);
    }

    /// Returns the time within which a response to a prompt of `prompt` tokens probably ends that is
    /// expected to have `tokens` tokens, and `max_tokens` at most. A response that was begun would be cut if it is longer than
    /// expected, while one that was not can begin elsewhere at once, so the maximum counts.
    pub fn time(&self, prompt: u64, tokens: u64, max_tokens: u64) -> Duration {
        let tokens = (tokens as f64 * LENGTH_MARGIN).max(max_tokens as f64);
        let reading = self.prompt_time.mul_f64(prompt as f64 * PROMPT_MARGIN);
        reading + self.token_time.mul_f64(tokens)
    }
}

/// Adds the time that `tokens` tokens took to an average per token.
fn record(average: &mut Duration, tokens: u64, took: Duration) {
    if tokens > 0 {
        let time = took.div_f64(tokens as f64);
        *average = average.mul_f64(1.0 - RESPONSE_WEIGHT) + time.mul_f64(RESPONSE_WEIGHT);
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::new()
    }
}
