//! The caller's request for a completion.

use nutmeggrade_core::prelude::*;
use serde::Deserialize;

/// Answer length if the caller names none.
const DEFAULT_MAX_TOKENS: u64 = 4_096;
/// Bytes of text that count as one token in estimates.
const BYTES_PER_TOKEN: u64 = 4;
/// Start of the prompt that decides about prefix affinity, in bytes.
const PREFIX_BYTES: usize = 256;

/// Body of `POST /v1/completions`; unknown fields of the usual API are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Completion {
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    #[serde(default = "default_max")]
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

const fn default_max() -> u64 {
    DEFAULT_MAX_TOKENS
}

impl Completion {
    /// Reads and checks a body.
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

    /// Hashes the start of the prompt; 0 if it is too short to be shared.
    pub fn prefix(&self) -> u64 {
        let Some(start) = self.prompt.as_bytes().get(..PREFIX_BYTES) else { return 0 };
        let hash = blake3::hash(start);
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(bytes).max(1)
    }
}
