//! Stored form of an endpoint's response.

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::serde_as;

/// Maximum encoded body size, in bytes. A platform value holds 1 MB, and the rest of the record
/// needs far less than the remainder.
const MAX_ENCODED_BYTES: usize = 960 << 10;

/// Stored form of an endpoint's response.
///
/// In JSON, control characters and quotes take up to six bytes, and a body that is not UTF-8 takes
/// two per byte. The platform would reject a record that is too large, and every retry would then
/// get the answer that the call is still running. A response that does not fit is therefore stored
/// without its body, so that a retry is at least informed that the call ran.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the endpoint sent one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    text: Option<String>,
    #[serde_as(as = "Option<Hex>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    bytes: Option<Vec<u8>>,
}

impl RecordedResponse {
    /// Creates the record of a response, without its body if that is too large.
    pub fn new(status: u16, body: &[u8]) -> Self {
        let text = std::str::from_utf8(body).ok();
        let fits = text.map_or(body.len() * 2, json_len) <= MAX_ENCODED_BYTES;
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

    /// Returns the exact body; `None` if it was too large to be stored.
    pub fn body(&self) -> Option<&[u8]> {
        self.text.as_deref().map(str::as_bytes).or(self.bytes.as_deref())
    }
}

/// Returns the size of a text in JSON, in bytes.
fn json_len(text: &str) -> usize {
    let encoded_len = |b: u8| match b {
        b'"' | b'\\' => 2,
        0..=0x1f => 6,
        _ => 1,
    };
    text.bytes().map(encoded_len).sum()
}
