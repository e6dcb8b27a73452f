//! Refusals of requests that find no room.

use std::time::Duration;

use super::RefusalReason;

/// Refusal of a request that has not run, with the basis of the decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which the client may retry.
    pub delay: Duration,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Time until the request would have found room, if that was known.
    pub forecast: Option<Duration>,
    /// Memory of the requests that waited ahead of it, in tokens.
    pub ahead: u64,
}

impl Refusal {
    /// Creates a refusal without a forecast.
    pub const fn new(reason: RefusalReason, delay: Duration) -> Self {
        Self { delay, reason, forecast: None, ahead: 0 }
    }

    /// Sets the forecast that the refusal is based on.
    #[must_use]
    pub const fn with_forecast(mut self, wait: Duration, ahead: u64) -> Self {
        self.forecast = Some(wait);
        self.ahead = ahead;
        self
    }
}
