//! Outcomes of single requests.

use std::time::Duration;

/// An outcome of a request, attributed to the version that served it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint failed, cut its response off or sent none.
    Failed,
    /// Time to the response, or to the first event of a stream.
    FirstResponse(Duration),
    /// Average time between events of a stream.
    EventInterval(Duration),
}
