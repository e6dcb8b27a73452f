//! Rate at which responses end, by their current length.

/// Lower bounds of the length ranges, two per octave: lengths span three decades, and the rate of
/// ending depends on their ratio rather than on their difference.
const RANGE_STARTS: [u64; 24] = [
    0, 16, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768, 1_024, 1_536, 2_048, 3_072, 4_096, 6_144,
    8_192, 12_288, 16_384, 24_576, 32_768, 49_152,
];
/// Factor applied to earlier observations on each ended response: a window of about 200 responses.
/// A window of 50 doubles the error of the tail; one of 1,000 follows a drift only after minutes.
const DECAY_PER_RESPONSE: f64 = 0.995;
/// Weight of the parent's rate in each range, in responses; with two, the first observed responses
/// soon prevail.
const PRIOR_RESPONSES: f64 = 2.0;
/// Median length of the prior. Few responses end early, and the tail is heavy, so that an estimator
/// without observations errs towards long responses.
const PRIOR_MEDIAN_TOKENS: f64 = 500.0;

/// Ended responses and observed tokens in each range of lengths.
///
/// Counting the observed tokens takes running responses into account. An estimator that uses ended
/// responses alone observes the short ones first, underestimates lengths after a drift or a start,
/// and admits too many requests, which the engine preempts when they grow.
#[derive(Debug, Clone, Default)]
pub struct Hazard {
    ended: [f64; RANGE_STARTS.len()],
    tokens: [f64; RANGE_STARTS.len()],
}

impl Hazard {
    /// Creates a table without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a response grew from `from` to `to` tokens; `weight` is at most 1.
    pub fn grow(&mut self, from: u64, to: u64, weight: f64) {
        let mut at = from;
        while at < to {
            let range = range_index(at);
            let end = range_end(range).min(to);
            self.tokens[range] += (end - at) as f64 * weight;
            at = end;
        }
    }

    /// Records that a response ended by itself at `length`; `weight` is at most 1.
    pub fn end(&mut self, length: u64, weight: f64) {
        let factor = 1.0 - (1.0 - DECAY_PER_RESPONSE) * weight;
        for value in self.ended.iter_mut().chain(&mut self.tokens) {
            *value *= factor;
        }
        self.ended[range_index(length)] += weight;
    }

    /// Returns the rate of ending per token in a range, weighted towards the parent's rate while
    /// there are few observations.
    pub(super) fn rate(&self, range: usize, parent: f64) -> f64 {
        let prior_tokens = PRIOR_RESPONSES * width(range);
        (self.ended[range] + parent * prior_tokens) / (self.tokens[range] + prior_tokens)
    }
}

/// Returns the prior rate of ending per token.
pub(super) fn prior_rate(range: usize) -> f64 {
    let length = RANGE_STARTS[range] as f64;
    2.0 * length / (length * length + PRIOR_MEDIAN_TOKENS * PRIOR_MEDIAN_TOKENS)
}

/// Returns the index of the range that contains a length.
pub(super) fn range_index(length: u64) -> usize {
    RANGE_STARTS.partition_point(|b| *b <= length).saturating_sub(1)
}

/// Returns the exclusive end of a range.
pub(super) fn range_end(range: usize) -> u64 {
    RANGE_STARTS.get(range + 1).copied().unwrap_or(u64::MAX)
}

fn width(range: usize) -> f64 {
    let end = RANGE_STARTS.get(range + 1).copied().unwrap_or(RANGE_STARTS[range] * 2);
    (end - RANGE_STARTS[range]) as f64
}
