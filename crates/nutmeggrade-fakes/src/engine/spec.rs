//! Capacity and speed of an engine.

use std::time::Duration;

/// Capacity and speed of an engine.
#[derive(Debug, Clone)]
pub struct Spec {
    /// Key/value memory, in tokens.
    pub memory: u64,
    /// Maximum number of generations in a batch.
    pub batch: u32,
    /// Base time of a step, without any generations.
    pub step: Duration,
    /// Time that each generation in the batch adds to a step.
    pub step_each: Duration,
    /// Time that each prefilled prompt token adds to a step.
    pub prefill_each: Duration,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk: u64,
    /// Maximum number of generations during a cold start; one more crashes the engine.
    pub cold_limit: u32,
    /// Duration of a cold start.
    pub cold_time: Duration,
    /// Factor by which steps are longer during a cold start.
    pub cold_factor: u32,
    /// Number of prompt prefixes that the cache holds.
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
