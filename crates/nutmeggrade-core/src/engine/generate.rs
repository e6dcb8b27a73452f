//! The order to start a generation.

use serde::{Deserialize, Serialize};

use crate::id::{GenerationId, ModelId};

/// Starts one generation on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Id drawn by the node for this attempt.
    pub generation: GenerationId,
    /// The model to run.
    pub model: ModelId,
    /// The prompt.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Higher is preempted later.
    pub priority: i32,
}
