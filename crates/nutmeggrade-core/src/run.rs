//! What is known about whether a request ran.

use serde::{Deserialize, Serialize};

/// Says whether the work of a request was started at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Run {
    /// Proved not to have run, and this attempt can never run later.
    NotRun,
    /// Ran, whole or in part.
    Ran,
    /// May have run; nobody can tell.
    Unknown,
}

impl Run {
    /// Returns the name used on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}
