//! What happens in a step.

use nutmeggrade_core::id::GenerationId;

/// What happened to a generation in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A token came out.
    Token {
        /// The generation.
        generation: GenerationId,
        /// Place in the answer, from 0.
        offset: u64,
        /// Whether it is the last.
        last: bool,
    },
    /// The generation lost its memory and waits to be computed again.
    Preempted {
        /// The generation.
        generation: GenerationId,
    },
    /// The engine crashed; every generation is gone and it restarts cold.
    Crashed,
}
