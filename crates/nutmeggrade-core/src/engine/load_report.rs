//! What an engine says about its load, with a lag.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// An engine's own view of its load.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait inside the engine.
    pub waiting: u32,
    /// Memory in use, in tokens.
    pub memory_used: u64,
    /// Memory in all, in tokens.
    pub memory_total: u64,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Whether the engine is in cold start.
    pub cold: bool,
    /// Most generations that it bears while cold.
    pub cold_limit: u32,
    /// How old these numbers are.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}
