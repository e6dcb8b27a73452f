//! Keys and tokens that must not be logged.

use std::fmt;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_LEN: usize = 16;

/// A secret text; its `Debug` form hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from its text.
    pub fn new(text: &str) -> Self {
        Self(text.to_owned())
    }

    /// Returns the text, for use in a request header only.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Derives a 32-byte key for one purpose, so that each use has its own key.
    pub fn key(&self, purpose: &str) -> [u8; 32] {
        let context = format!("nutmeggrade 2026 {purpose}");
        blake3::derive_key(&context, self.0.as_bytes())
    }

    /// Compares with another text; the timing does not reveal where they differ.
    pub fn matches(&self, other: &str) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(other.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}
