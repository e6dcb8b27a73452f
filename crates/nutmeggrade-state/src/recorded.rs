//! An endpoint's answer as the platform keeps it.

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;

/// Largest body that is kept, in bytes of its encoded form; a platform value holds one megabyte,
/// and the rest of the record needs far less than what is left.
const MAX_ENCODED: usize = 960 << 10;

/// An endpoint's answer as the platform keeps it.
///
/// Control characters and quotes take up to six bytes in JSON, and an answer that is not UTF-8
/// takes two per byte. An answer that doesn't fit would make the platform refuse the record: every
/// retry would then be told that the call is still running. Such an answer is kept without its body,
/// so that a retry learns at least that the call ran.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the endpoint named one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde_as(as = "Option<Hex>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    bytes: Option<Vec<u8>>,
}

impl Recorded {
    /// Keeps an answer, without its body if that is too large.
    pub fn new(status: u16, body: &[u8]) -> Self {
        let text = std::str::from_utf8(body).ok();
        let fits = text.map_or(body.len() * 2, encoded) <= MAX_ENCODED;
        let bytes = (fits && text.is_none()).then(|| body.to_vec());
        let text = text.filter(|_| fits).map(ToOwned::to_owned);
        Self { status, content: None, text, bytes }
    }

    /// Sets the content type.
    #[must_use]
    pub fn with_content(mut self, content: Option<&str>) -> Self {
        self.content = content.map(ToOwned::to_owned);
        self
    }

    /// Returns the body, byte for byte as it came; `None` if it was too large to be kept.
    pub fn body(&self) -> Option<&[u8]> {
        self.text.as_deref().map(str::as_bytes).or(self.bytes.as_deref())
    }
}

/// Returns how many bytes a text takes inside JSON.
fn encoded(text: &str) -> usize {
    let cost = |b: u8| match b {
        b'"' | b'\\' => 2,
        0..=0x1f => 6,
        _ => 1,
    };
    text.bytes().map(cost).sum()
}
