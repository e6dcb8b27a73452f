//! Response objects of the completion API.

use nutmeggrade_core::engine::{FinishReason, Token};
use nutmeggrade_core::prelude::*;
use serde::Serialize;

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<FinishReason>,
}

/// One `text_completion` object: a chunk of a stream or a full response.
#[derive(Debug, Serialize)]
pub struct Chunk<'a> {
    id: String,
    object: &'static str,
    model: &'a ModelId,
    choices: [Choice<'a>; 1],
}

impl<'a> Chunk<'a> {
    /// Creates the chunk of one token.
    pub fn new(model: &'a ModelId, token: &'a Token) -> Self {
        Self::with_text(model, token.generation, &token.text, token.finish)
    }

    fn with_text(
        model: &'a ModelId,
        generation: GenerationId,
        text: &'a str,
        finish: Option<FinishReason>,
    ) -> Self {
        let choice = Choice { index: 0, text, finish_reason: finish };
        Self {
            id: format!("cmpl-{generation}"),
            object: "text_completion",
            model,
            choices: [choice],
        }
    }
}

/// Creates the object of a full response.
pub fn full_response<'a>(
    model: &'a ModelId,
    generation: GenerationId,
    text: &'a str,
    finish: Option<FinishReason>,
) -> Chunk<'a> {
    Chunk::with_text(model, generation, text, finish)
}
