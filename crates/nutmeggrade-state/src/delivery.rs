//! Ordered delivery of a generation's tokens to its caller.

use nutmeggrade_core::engine::Token;
use nutmeggrade_core::prelude::*;

use crate::invariant;

/// What to do with a token that came from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Pass it on to the caller.
    Deliver,
    /// Drop it, as it was already delivered.
    Repeat,
    /// Request the stream again from the next offset, as tokens before this one are missing.
    Gap,
    /// Drop it, as it belongs to another generation.
    Foreign,
}

/// Delivers each token of one generation once and in order.
///
/// Engines repeat tokens after a reconnect, streams of two attempts can interleave, and a resumed
/// stream may start at the wrong offset. A caller would see a duplicate or missing word. Every
/// token's generation and offset are checked before it is delivered.
#[derive(Debug)]
pub struct Delivery {
    generation: GenerationId,
    next_offset: u64,
    ended: bool,
}

impl Delivery {
    /// Starts at the first token.
    pub const fn new(generation: GenerationId) -> Self {
        Self { generation, next_offset: 0, ended: false }
    }

    /// Sets the first offset that the caller does not have yet.
    #[must_use]
    pub const fn with_next(mut self, offset: u64) -> Self {
        self.next_offset = offset;
        self
    }

    /// Marks the response as ended: the caller has its last token.
    pub const fn end(&mut self) {
        self.ended = true;
    }

    /// Decides what to do with a token.
    pub fn accept(&mut self, token: &Token) -> Step {
        if token.generation != self.generation {
            return Step::Foreign;
        }
        if token.offset < self.next_offset || self.ended {
            return Step::Repeat;
        }
        if token.offset > self.next_offset {
            return Step::Gap;
        }
        invariant::check(token.offset == self.next_offset, "token_once_in_order");
        self.next_offset += 1;
        self.ended = token.finish.is_some();
        Step::Deliver
    }

    /// Returns the generation.
    pub const fn generation(&self) -> GenerationId {
        self.generation
    }

    /// Returns the offset of the next token to deliver.
    pub const fn next(&self) -> u64 {
        self.next_offset
    }

    /// Returns whether the last token was delivered.
    pub const fn ended(&self) -> bool {
        self.ended
    }
}
