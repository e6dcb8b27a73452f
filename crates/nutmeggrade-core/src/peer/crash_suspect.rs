//! What may have crashed an endpoint.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{ContentId, Fingerprint, PartKey};

/// What a request has that may have crashed the endpoint that ran it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashSuspect {
    /// The request as a whole.
    Request(Fingerprint),
    /// A part of its prompt, whatever else it holds.
    Part(PartKey),
}

impl CrashSuspect {
    /// Returns the name used in logs and metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Request(_) => "request",
            Self::Part(_) => "part",
        }
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => ContentId(fingerprint).fmt(f),
            Self::Part(part) => part.fmt(f),
        }
    }
}
