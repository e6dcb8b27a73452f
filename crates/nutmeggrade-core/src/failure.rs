//! What a caller is told when its request does not end well.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::code::Code;
use crate::run::Run;

/// Header that carries the number of a failed answer's result.
pub const CODE_HEADER: &str = "nutmeggrade-code";

/// A numbered failure with what is known about the request's effect.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The numbered code.
    pub code: Code,
    /// The code's name, for people.
    pub name: String,
    /// Whether the request ran.
    pub run: Run,
    /// What happened, in words.
    pub detail: String,
    /// When to come back; absent if coming back does not help.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "retry_after_ms", skip_serializing_if = "Option::is_none", default)]
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Makes a failure of a request that did not run.
    pub fn new(code: Code, detail: &str) -> Self {
        Self {
            code,
            name: code.name().to_owned(),
            run: Run::NotRun,
            detail: detail.to_owned(),
            retry_after: None,
        }
    }

    /// Sets what is known about the request's effect.
    #[must_use]
    pub fn with_run(mut self, run: Run) -> Self {
        self.run = run;
        self
    }

    /// Sets when to come back.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} run={} {}", self.code, self.run.as_str(), self.detail)
    }
}

impl std::error::Error for Failure {}
