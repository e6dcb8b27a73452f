//! What evidence says of a version.

use std::fmt;

/// What is wrong with a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Complaint {
    /// It fails more often than the old one.
    Fails,
    /// It answers or begins its streams later.
    StartsLate,
    /// Its streams run slower.
    StreamsSlowly,
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Fails => "fails",
            Self::StartsLate => "starts_late",
            Self::StreamsSlowly => "streams_slowly",
        })
    }
}

/// What evidence says of a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Too little is known.
    Unclear,
    /// It is as good as the old one, as far as so many answers can show.
    Good,
    /// It may be worse.
    Suspect,
    /// It is worse.
    Bad {
        /// The route that shows it; `*` for all together.
        route: String,
        /// What is wrong.
        complaint: Complaint,
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
