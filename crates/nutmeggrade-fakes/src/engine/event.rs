//! Events of an engine step.

use nutmeggrade_core::id::GenerationId;

/// An event of an engine step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A generation produced a token.
    Token {
        /// The generation.
        generation: GenerationId,
        /// Position in the output, from 0.
        offset: u64,
        /// Whether it is the last token.
        last: bool,
    },
    /// The generation lost its memory and is queued for recomputation.
    Preempted {
        /// The generation.
        generation: GenerationId,
    },
    /// The engine crashed: all generations are lost and it restarts cold.
    Crashed,
}
