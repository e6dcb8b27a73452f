//! Why a large body was not received.

use std::fmt;

/// Why a large body was not received.
#[derive(Debug)]
pub enum TransferError {
    /// The connection broke.
    Broken(hyper::Error),
    /// No part of the body arrived in time, or the whole took too long.
    Stalled,
    /// The body is larger than the limit.
    TooLarge,
}

impl fmt::Display for TransferError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => write!(f, "the body broke off: {error}"),
            Self::Stalled => f.write_str("the body stalled"),
            Self::TooLarge => f.write_str("the body is too large"),
        }
    }
}

impl std::error::Error for TransferError {}
