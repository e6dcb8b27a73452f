//! Mergeable histogram of durations.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Number of buckets; the last one begins at 2^15 ms, about half a minute.
const BUCKET_COUNT: usize = 16;

/// Histogram of durations with bucket bounds at powers of two, in milliseconds.
///
/// Instances exchange their counts; the sum is the histogram of the fleet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Latencies([u32; BUCKET_COUNT]);

impl Latencies {
    /// Records a duration.
    pub fn add(&mut self, duration: Duration) {
        let ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX).max(1);
        let bucket = usize::try_from(ms.ilog2()).unwrap_or(BUCKET_COUNT).min(BUCKET_COUNT - 1);
        self.0[bucket] = self.0[bucket].saturating_add(1);
    }

    /// Returns the number of recorded durations.
    pub fn count(&self) -> u32 {
        self.0.iter().sum()
    }

    /// Returns, for each bucket but the first, the number of durations in it or in higher ones.
    pub fn cumulative_counts(&self) -> impl Iterator<Item = u32> {
        let count_from = |bucket: usize| self.0[bucket..].iter().sum();
        (1..BUCKET_COUNT).map(count_from)
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (count, other) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(other);
        }
    }

    /// Returns the counts since the earlier state `earlier`.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i].saturating_sub(earlier.0[i])))
    }
}
