//! Rate at which answers end, by how long they already are.

/// Lower bounds of the length ranges, two an octave: lengths spread over three decades, and the
/// rate of ending changes with their ratio rather than their difference.
const BOUNDS: [u64; 24] = [
    0, 16, 32, 48, 64, 96, 128, 192, 256, 384, 512, 768, 1_024, 1_536, 2_048, 3_072, 4_096, 6_144,
    8_192, 12_288, 16_384, 24_576, 32_768, 49_152,
];
/// What remains of old observations after each new ended answer: a window of about 200 answers.
/// A window of 50 doubles the error of the tail, one of 1,000 follows a drift only after minutes.
const KEEP: f64 = 0.995;
/// Answers that the parent's rate counts for, per range; two give way to the first real ones.
const PRIOR: f64 = 2.0;
/// Median length before anything was seen; few end early, and the tail behind it is heavy, so that
/// a cold estimator errs towards long answers.
const UNKNOWN: f64 = 500.0;

/// Ended answers and tokens seen in each range of lengths.
///
/// Counting tokens seen beside answers ended takes answers that still run into account. An estimator
/// that learns from ended answers alone sees the short ones first, believes in short answers after a
/// drift or a start, lets too many in, and the engine preempts them when they grow.
#[derive(Debug, Clone, Default)]
pub struct Hazard {
    ended: [f64; BOUNDS.len()],
    tokens: [f64; BOUNDS.len()],
}

impl Hazard {
    /// Makes a table that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an answer grew from `from` to `to` tokens; `weight` is at most 1.
    pub fn grow(&mut self, from: u64, to: u64, weight: f64) {
        let mut at = from;
        while at < to {
            let range = range(at);
            let end = upper(range).min(to);
            self.tokens[range] += (end - at) as f64 * weight;
            at = end;
        }
    }

    /// Notes that an answer ended by itself at `length`; `weight` is at most 1.
    pub fn end(&mut self, length: u64, weight: f64) {
        let keep = 1.0 - (1.0 - KEEP) * weight;
        for value in self.ended.iter_mut().chain(&mut self.tokens) {
            *value *= keep;
        }
        self.ended[range(length)] += weight;
    }

    /// Returns the rate of ending per token in a range, leaning on the parent's while little is seen.
    pub(super) fn rate(&self, range: usize, parent: f64) -> f64 {
        let pseudo = PRIOR * width(range);
        (self.ended[range] + parent * pseudo) / (self.tokens[range] + pseudo)
    }
}

/// Returns the rate of ending per token before anything was seen.
pub(super) fn unknown(range: usize) -> f64 {
    let length = BOUNDS[range] as f64;
    2.0 * length / (length * length + UNKNOWN * UNKNOWN)
}

/// Returns the range that a length is in.
pub(super) fn range(length: u64) -> usize {
    BOUNDS.partition_point(|b| *b <= length).saturating_sub(1)
}

/// Returns the end of a range.
pub(super) fn upper(range: usize) -> u64 {
    BOUNDS.get(range + 1).copied().unwrap_or(u64::MAX)
}

fn width(range: usize) -> f64 {
    let end = BOUNDS.get(range + 1).copied().unwrap_or(BOUNDS[range] * 2);
    (end - BOUNDS[range]) as f64
}
