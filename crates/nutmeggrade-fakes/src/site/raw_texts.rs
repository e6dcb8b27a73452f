//! Texts that other programs wrote to the store, which need not be JSON.

use serde_json::Value;

/// Part of an object that another program wrote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RawPart {
    /// The whole object, with its metadata.
    Object,
    /// The specification.
    Specification,
    /// The status; the specification stays.
    Status,
}

/// Texts that other programs wrote to the store. A marker stands for each in the store's objects, and
/// is replaced when a response is written.
#[derive(Debug, Default)]
pub struct RawTexts(Vec<Vec<u8>>);

impl RawTexts {
    /// Adds a text and returns its marker.
    pub fn add(&mut self, text: &[u8]) -> Value {
        let marker = format!("raw-text-{}-", self.0.len());
        self.0.push(text.to_vec());
        Value::String(marker)
    }

    /// Replaces the markers in the text of a response.
    pub fn replace_markers(&self, body: &str) -> Vec<u8> {
        let mut rest = body;
        let mut bytes = Vec::with_capacity(body.len());
        while let Some((before, after)) = rest.split_once("\"raw-text-") {
            let Some((number, after)) = after.split_once("-\"") else { break };
            let text = number.parse::<usize>().ok().and_then(|number| self.0.get(number));
            bytes.extend(before.bytes());
            bytes.extend(text.into_iter().flatten());
            rest = after;
        }
        bytes.extend(rest.bytes());
        bytes
    }
}

/// Returns the bytes of a name that is escaped in a path or a query.
pub fn unescape(name: &str) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(name.len());
    let mut rest = name.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let digits = after.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        if let Some(escaped) = escaped.filter(|_| byte == b'%') {
            bytes.push(escaped);
            rest = &after[2..];
        } else {
            bytes.push(byte);
            rest = after;
        }
    }
    bytes
}
