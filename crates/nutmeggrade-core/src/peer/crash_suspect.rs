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
    /// Returns the suspects of a request with these prompt parts: itself, and each part.
    pub fn all(request: Fingerprint, parts: &[PartKey]) -> impl Iterator<Item = Self> {
        std::iter::once(Self::Request(request)).chain(parts.iter().copied().map(Self::Part))
    }

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
