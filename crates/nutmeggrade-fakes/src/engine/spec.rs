//! What an engine can do.

use std::time::Duration;

/// Sizes and speeds of one engine.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Key/value memory, in tokens.
    pub memory: u64,
    /// Most generations in a batch.
    pub batch: u32,
    /// Time of a step with an empty batch.
    pub step: Duration,
    /// Time that each generation in the batch adds to a step.
    pub step_each: Duration,
    /// Time that each prompt token read in a step adds.
    pub prefill_each: Duration,
    /// Most prompt tokens read in one step.
    pub prefill_chunk: u64,
    /// Most generations that it bears while cold; one more and it falls over.
    pub cold_limit: u32,
    /// How long a cold start lasts.
    pub cold_time: Duration,
    /// How much slower a step is while cold.
    pub cold_factor: u32,
    /// Prompt prefixes that the cache keeps.
    pub prefixes: usize,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            memory: 40_000,
            batch: 64,
            step: Duration::from_millis(12),
            step_each: Duration::from_micros(150),
            prefill_each: Duration::from_micros(25),
            prefill_chunk: 1_024,
            cold_limit: 2,
            cold_time: Duration::from_secs(5),
            cold_factor: 3,
            prefixes: 64,
        }
    }
}
