//! Hashes that identify texts.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Length of a hash, in bytes.
const HASH_BYTES: usize = 16;

/// Hash of a text, by which instances determine whether they have the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextHash([u8; HASH_BYTES]);

impl TextHash {
    /// Returns the hash of a text.
    pub fn of(text: &[u8]) -> Self {
        let hash = blake3::hash(text);
        Self(std::array::from_fn(|i| hash.as_bytes()[i]))
    }
}

impl fmt::Display for TextHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Error for a text that is no hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TextHashError;

impl fmt::Display for TextHashError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not {} hexadecimal digits", 2 * HASH_BYTES)
    }
}

impl std::error::Error for TextHashError {}

impl FromStr for TextHash {
    type Err = TextHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * HASH_BYTES || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(TextHashError);
        }
        let mut hash = [0; HASH_BYTES];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).or(Err(TextHashError))?;
            *byte = u8::from_str_radix(pair, 16).or(Err(TextHashError))?;
        }
        Ok(Self(hash))
    }
}
