//! Whether a request ran.

use serde::{Deserialize, Serialize};

/// Whether the work of a request was started at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// Proven not to have run; this attempt can't run later either.
    NotRun,
    /// Ran, completely or partly.
    Ran,
    /// May have run; the outcome can't be determined.
    Unknown,
}

impl RunStatus {
    /// Returns the name used on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}
