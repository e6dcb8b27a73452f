//! Texts in the form in which instances send them to each other.

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};

use super::TextHash;

/// A compressed text, by itself or against an earlier one that the receiver has.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedText {
    /// Hash of the earlier text; `None` for a text by itself.
    pub base: Option<TextHash>,
    /// Hash of the text.
    pub hash: TextHash,
    /// The compressed text.
    #[serde_as(as = "Bytes")]
    pub bytes: Vec<u8>,
}
