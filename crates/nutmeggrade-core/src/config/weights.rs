//! Weights of a deployment's objectives.

use serde::{Deserialize, Serialize};

/// Relative weights of the objectives; only their ratios matter.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Time that streams are stalled.
    pub stall: f64,
    /// Service while a failure domain is lost and returns.
    pub domains: f64,
    /// Tail latency between tokens.
    pub gap: f64,
    /// Generations preempted by engines.
    pub preemptions: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { stall: 1.0, domains: 1.0, gap: 1.0, preemptions: 1.0 }
    }
}
