//! Body of a completion request.

use nutmeggrade_core::prelude::*;
use serde::Deserialize;

/// Maximum length of a response for which the caller sets none.
const DEFAULT_MAX_TOKENS: u64 = 4_096;
/// Bytes of text per token in estimates.
const BYTES_PER_TOKEN: u64 = 4;
/// Length of the prompt prefix that is hashed for prefix affinity.
const PREFIX_BYTES: usize = 256;

/// Body of `POST /v1/completions`; other fields of the completion API are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Completion {
    /// Requested model.
    pub model: ModelId,
    /// Prompt text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max")]
    pub max_tokens: u64,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
}

const fn default_max() -> u64 {
    DEFAULT_MAX_TOKENS
}

impl Completion {
    /// Parses and validates a body.
    pub fn parse(body: &[u8]) -> Result<Self, Failure> {
        let parsed: Self = serde_json::from_slice(body)
            .map_err(|e| Failure::new(Code::BadJson, &format!("body: {e}")))?;
        if parsed.max_tokens == 0 {
            return Err(Failure::new(Code::OutOfRange, "max_tokens must be at least 1"));
        }
        Ok(parsed)
    }

    /// Estimates the prompt's length in tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.prompt.len() as u64 / BYTES_PER_TOKEN + 1
    }

    /// Returns a hash of the prompt's prefix, or 0 if the prompt is shorter than the prefix.
    pub fn prefix(&self) -> u64 {
        let Some(start) = self.prompt.as_bytes().get(..PREFIX_BYTES) else { return 0 };
        let hash = blake3::hash(start);
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(bytes).max(1)
    }
}
