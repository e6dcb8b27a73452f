//! Tokens on an engine's stream.

use serde::{Deserialize, Serialize};

use crate::id::GenerationId;

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its response.
    Stop,
    /// The token limit was reached.
    Length,
}

/// One token on an engine's stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The generation it belongs to.
    pub generation: GenerationId,
    /// Position in the response, from 0.
    pub offset: u64,
    /// Text of the token.
    pub text: String,
    /// Set on the last token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<FinishReason>,
}
