//! What one request tells of the version that served it.

use std::time::Duration;

/// What one request tells of the version that served it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint failed, broke its answer off or sent none.
    Failed,
    /// An answer, or the first event of a stream, came after this time.
    First(Duration),
    /// A stream's events came this far apart on average.
    Pace(Duration),
}
