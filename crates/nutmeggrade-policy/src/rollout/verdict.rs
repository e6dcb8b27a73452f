//! Result of the comparison of two versions.

use std::fmt;

/// Way in which a new version is worse.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Regression {
    /// It fails more often than the old one.
    Fails,
    /// It responds or begins its streams later.
    StartsLate,
    /// Its streams run slower.
    StreamsSlowly,
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fails => "fails",
            Self::StartsLate => "starts_late",
            Self::StreamsSlowly => "streams_slowly",
        })
    }
}

/// Result of the comparison of two versions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// There is too little evidence.
    Unclear,
    /// It shows no difference from the old one at the current number of responses.
    Good,
    /// It may be worse.
    Suspect,
    /// It is worse.
    Bad {
        /// The route that shows it; `*` for all routes together.
        route: String,
        /// Way in which it is worse.
        complaint: Regression,
    },
}

impl Verdict {
    /// Returns the name used in logs.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Unclear => "unclear",
            Self::Good => "good",
            Self::Suspect => "suspect",
            Self::Bad { .. } => "bad",
        }
    }
}
