//! Request to start a generation.

use serde::{Deserialize, Serialize};

use crate::id::{GenerationId, ModelId};

/// A request to start one generation on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// Random id that the instance assigns to this attempt.
    pub generation: GenerationId,
    /// The model to run.
    pub model: ModelId,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Priority; engines preempt lower values first.
    pub priority: i32,
}
