//! A histogram of durations that instances can add up.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Buckets; the last one begins at half a minute.
const BUCKETS: usize = 16;

/// Counts of durations by powers of two of a millisecond.
///
/// Instances send each other such counts, and the sum of counts is the histogram of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Latencies([u32; BUCKETS]);

impl Latencies {
    /// Counts one duration.
    pub fn add(&mut self, duration: Duration) {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).max(1);
        let bucket = usize::try_from(ms.ilog2()).unwrap_or(BUCKETS).min(BUCKETS - 1);
        self.0[bucket] = self.0[bucket].saturating_add(1);
    }

    /// Counts all durations.
    pub fn count(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Returns for each bucket but the first how many durations are in it or above.
    pub fn above(&self) -> impl Iterator<Item = u32> {
        let from = |bucket: usize| self.0[bucket..].iter().sum();
        (1..BUCKETS).map(from)
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own = own.saturating_add(other);
        }
    }

    /// Returns the counts since an earlier state of this histogram.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i].saturating_sub(earlier.0[i])))
    }
}
