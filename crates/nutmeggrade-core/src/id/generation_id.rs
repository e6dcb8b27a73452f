//! Ids of generations.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// Identifies one generation on an engine; 16 random bytes, written as 32 hex digits.
///
/// An instance draws a new id for every attempt, so that two attempts at the same request are never
/// mistaken for one generation.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GenerationId(#[serde_as(as = "Hex")] [u8; 16]);

impl GenerationId {
    /// Wraps 16 random bytes.
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }

    /// Parses 32 hex digits; `None` for anything else.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 32 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return None;
        }
        let number = u128::from_str_radix(text, 16).ok()?;
        Some(Self(number.to_be_bytes()))
    }
}

impl fmt::Display for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for GenerationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "GenerationId({self})")
    }
}
