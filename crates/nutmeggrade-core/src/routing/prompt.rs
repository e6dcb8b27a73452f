//! What a client says of its prompt.

use crate::id::ModelId;

/// One part of a prompt; requests that share their first parts share the engine's work on them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// What a client says of its prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The model that is to answer.
    pub model: ModelId,
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Most tokens of the answer.
    pub most: u64,
    /// The client's own estimate of the answer's length in tokens; right at the median only.
    pub hint: Option<u64>,
    /// The parts that the prompt begins with, in order.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the answer's expected length: the client's estimate, at most the cap.
    pub fn expected(&self) -> u64 {
        self.hint.unwrap_or(self.most).min(self.most)
    }
}
