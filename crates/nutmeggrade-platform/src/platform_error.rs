//! Errors of calls to the platform.

use std::fmt;

/// Error of a call to the platform.
#[derive(Debug)]
pub enum PlatformError {
    /// A conditional write found another version; nothing was written.
    Conflict,
    /// The platform refused the call or was unreachable; nothing was written.
    Refused(anyhow::Error),
    /// The response was lost; a write may have taken effect.
    Unknown(anyhow::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("conflict"),
            Self::Refused(e) => write!(f, "refused: {e:#}"),
            Self::Unknown(e) => write!(f, "answer lost: {e:#}"),
        }
    }
}

impl std::error::Error for PlatformError {}
