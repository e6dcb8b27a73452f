//! Failures reported to callers.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::code::Code;
use crate::run_status::RunStatus;

/// Response header with the number of a failure's result code.
pub const CODE_HEADER: &str = "nutmeggrade-code";

/// A failure with its result code and whether the request ran.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The numbered result code.
    pub code: Code,
    /// Human-readable name of the code.
    pub name: String,
    /// Whether the request ran.
    pub run: RunStatus,
    /// Human-readable description.
    pub detail: String,
    /// Time to wait before a retry; absent if a retry can't succeed.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms", skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure of a request that did not run.
    pub fn new(code: Code, detail: &str) -> Self {
        Self {
            code,
            name: code.name().to_owned(),
            run: RunStatus::NotRun,
            detail: detail.to_owned(),
            retry_after: None,
        }
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_run(mut self, run: RunStatus) -> Self {
        self.run = run;
        self
    }

    /// Sets the time to wait before a retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} run={} {}", self.code, self.run.as_str(), self.detail)
    }
}

impl std::error::Error for Failure {}
