//! A generation inside the engine.

use nutmeggrade_core::engine::GenerateRequest;
use nutmeggrade_core::id::GenerationId;

/// A generation as submitted to the engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id that the instance drew.
    pub generation: GenerationId,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Id of the shared prefix; 0 for none.
    pub prefix: u64,
    /// Length of that prefix in tokens.
    pub prefix_len: u64,
    /// True output length in tokens, which the instance can't see.
    pub output: u64,
    /// Priority; higher values are preempted later.
    pub priority: i32,
    /// Whether it crashes the engine once its prompt is prefilled.
    pub poison: bool,
}

impl Job {
    /// Parses the output length, the prefix and a crash request from words of the prompt: `len=N`,
    /// `prefix=N`, `crash=now`.
    pub fn from_request(request: &GenerateRequest) -> Self {
        let words = request.prompt.split_whitespace();
        let mut output = 20 + request.prompt.len() as u64 % 80;
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
            generation: request.generation,
            prompt,
            prefix,
            prefix_len: prompt / 2,
            output: output.clamp(1, request.max_tokens.max(1)),
            priority: request.priority,
            poison,
        }
    }
}
