//! How long answers take.

use std::time::Duration;

/// Pace while no answer has ended yet, for each token: between that of an engine with few and with
/// many generations.
const FIRST: Duration = Duration::from_millis(10);
/// Weight of each further answer; some tens of answers are remembered.
const WEIGHT: f64 = 0.05;
/// Times the expected length that an answer gets. A client's estimate is right at the median only, so
/// that without a margin half of the answers would take longer.
const MARGIN: f64 = 1.5;

/// Pace at which answers are made, from the request to the last token.
///
/// Answers instances that stop: a long answer that begins just before the end is cut with most of its
/// work done. With the pace one can tell at its start that it will not end in time, and its client
/// begins at another instance at once.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    token: Duration,
}

impl Pace {
    /// Makes a pace that has seen nothing.
    pub const fn new() -> Self {
        Self { token: FIRST }
    }

    /// Notes an answer of so many tokens.
    pub fn ended(&mut self, tokens: u64, took: Duration) {
        if tokens == 0 {
            return;
        }
        let token = took.div_f64(tokens as f64);
        self.token = self.token.mul_f64(1.0 - WEIGHT) + token.mul_f64(WEIGHT);
    }

    /// Returns the time that an answer of this expected length probably ends within.
    pub fn time(&self, tokens: u64) -> Duration {
        self.token.mul_f64(tokens as f64 * MARGIN)
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::new()
    }
}
