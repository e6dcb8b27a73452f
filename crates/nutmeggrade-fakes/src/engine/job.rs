//! One generation inside the engine.

use nutmeggrade_core::id::GenerationId;

/// One generation as the engine gets it.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id drawn by the node.
    pub generation: GenerationId,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Names the shared prefix; 0 for none.
    pub prefix: u64,
    /// Length of that prefix in tokens.
    pub prefix_len: u64,
    /// True length of the answer, hidden from the node.
    pub output: u64,
    /// Higher is preempted later.
    pub priority: i32,
    /// Whether it crashes the engine once its prompt is read.
    pub poison: bool,
}
