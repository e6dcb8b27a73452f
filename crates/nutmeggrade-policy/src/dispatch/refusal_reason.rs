//! Reasons of refusals.

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No endpoint can run it.
    NoEndpoint,
    /// Room would be free later than it may wait.
    Forecast,
    /// It waited as long as it may.
    Timeout,
    /// Room would be free too late for any retry within its time limit.
    Hopeless,
}

impl RefusalReason {
    /// Returns the name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Forecast => "forecast",
            Self::Timeout => "timeout",
            Self::Hopeless => "hopeless",
        }
    }
}
