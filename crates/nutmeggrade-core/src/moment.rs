//! Points on the monotonic clock of one process.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on a process's monotonic clock, measured from the process's start.
///
/// Moments of different processes can't be compared; messages carry durations instead.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(Duration);

impl Moment {
    /// The process's start.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Creates a moment from the time since the process's start.
    pub const fn new(since_start: Duration) -> Self {
        Self(since_start)
    }

    /// Creates a moment from milliseconds since the process's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Returns the time since the process's start.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the time from `earlier` to this moment, zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment `delay` later.
    #[must_use]
    pub fn after(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay))
    }
}
