//! Properties of a request's prompt.

use crate::id::ModelId;

/// A part of a prompt; requests with the same leading parts share an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Properties of a request's prompt, as stated by the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The requested model.
    pub model: ModelId,
    /// Length of the prompt, in tokens.
    pub tokens: u64,
    /// Maximum length of the response, in tokens.
    pub max_tokens: u64,
    /// The client's estimate of the response's length, in tokens; accurate only at the median.
    pub hint: Option<u64>,
    /// The leading parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the response's expected length in tokens: the client's estimate, up to the maximum.
    pub fn expected(&self) -> u64 {
        self.hint.unwrap_or(self.max_tokens).min(self.max_tokens)
    }

    /// Returns the parts that requests of other sessions may have too: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
