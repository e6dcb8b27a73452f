//! One generation inside the engine.

use nutmeggrade_core::engine::GenerateRequest;
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

impl Job {
    /// Reads the hidden output length, prefix and fault out of the prompt: `len=N`, `prefix=N`,
    /// `crash=now`.
    pub fn read(order: &GenerateRequest) -> Self {
        let words = order.prompt.split_whitespace();
        let mut output = 20 + order.prompt.len() as u64 % 80;
        let mut poison = false;
        let mut prompt = 0;
        let mut prefix = 0;
        for word in words {
            prompt += 1;
            if let Some(n) = word.strip_prefix("len=").and_then(|n| n.parse().ok()) {
                output = n;
            }
            if let Some(n) = word.strip_prefix("prefix=").and_then(|n| n.parse().ok()) {
                prefix = n;
            }
            poison |= word == "crash=now";
        }
        Self {
            generation: order.generation,
            prompt,
            prefix,
            prefix_len: prompt / 2,
            output: output.clamp(1, order.max_tokens.max(1)),
            priority: order.priority,
            poison,
        }
    }
}
