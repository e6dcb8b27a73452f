//! The order in which a generation's tokens reach its caller.

use nutmeggrade_core::engine::Token;
use nutmeggrade_core::prelude::*;

use crate::invariant;

/// What to do with a token that came from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Hand it to the caller.
    Deliver,
    /// Already delivered; drop it.
    Repeat,
    /// Tokens are missing before it; ask the engine again from the next offset.
    Gap,
    /// From another generation; drop it.
    Foreign,
}

/// Passes each token of one generation once and in order.
///
/// Engines repeat tokens after a reconnect, streams of two attempts can cross, and a resumed stream
/// may start at the wrong place. A caller would see a doubled or missing word. Every token is
/// checked against the one generation and the next offset before it is handed on.
#[derive(Debug)]
pub struct Delivery {
    generation: GenerationId,
    next: u64,
    ended: bool,
}

impl Delivery {
    /// Starts at the first token.
    pub const fn new(generation: GenerationId) -> Self {
        Self { generation, next: 0, ended: false }
    }

    /// Starts after what the caller already has.
    #[must_use]
    pub const fn with_next(mut self, offset: u64) -> Self {
        self.next = offset;
        self
    }

    /// Marks the answer as ended: the caller has its last token.
    pub const fn end(&mut self) {
        self.ended = true;
    }

    /// Judges one token.
    pub fn accept(&mut self, token: &Token) -> Step {
        if token.generation != self.generation {
            return Step::Foreign;
        }
        if token.offset < self.next || self.ended {
            return Step::Repeat;
        }
        if token.offset > self.next {
            return Step::Gap;
        }
        invariant::check(token.offset == self.next, "token_once_in_order");
        self.next += 1;
        self.ended = token.finish.is_some();
        Step::Deliver
    }

    /// Returns the generation.
    pub const fn generation(&self) -> GenerationId {
        self.generation
    }

    /// Returns the offset of the next token to deliver.
    pub const fn next(&self) -> u64 {
        self.next
    }

    /// Says whether the last token was delivered.
    pub const fn ended(&self) -> bool {
        self.ended
    }
}
