//! Rate limits that endpoints state.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Requests per second that an endpoint takes from all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RateLimit {
    /// In thousandths, so that limits are ordered and all encodings of one are equal.
    milli: u32,
}

impl RateLimit {
    /// Creates a limit; `None` for a number that is no rate. Rates below a thousandth become 0, and
    /// those that are too high for any endpoint the highest rate.
    pub fn new(per_second: f64) -> Option<Self> {
        if !per_second.is_finite() || per_second < 0.0 {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "not negative, and a cast of a float saturates"
        )]
        let milli = (per_second * 1_000.0) as u32;
        Some(Self { milli })
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.milli) / 1_000.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_second().fmt(f)
    }
}
