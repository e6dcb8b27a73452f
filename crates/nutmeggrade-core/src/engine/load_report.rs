//! Load reports of engines.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// An engine's load as measured by the engine, with a lag.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of generations in the running batch.
    pub running: u32,
    /// Number of generations queued in the engine.
    pub waiting: u32,
    /// Key/value memory in use, in tokens.
    pub memory_used: u64,
    /// Total key/value memory, in tokens.
    pub memory_total: u64,
    /// Number of preemptions since the engine started.
    pub preemptions: u64,
    /// Whether the engine is in cold start.
    pub cold: bool,
    /// Maximum number of generations during cold start.
    pub cold_limit: u32,
    /// Age of the reported values.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}
