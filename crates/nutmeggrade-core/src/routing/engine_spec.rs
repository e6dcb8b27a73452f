//! Common properties of a service's engines.

use std::time::Duration;

/// Common properties of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of concurrent generations on one engine.
    pub slots: u32,
    /// Key/value memory of one engine, in tokens.
    pub memory: u64,
    /// Bytes of key/value memory per token.
    pub token_bytes: u64,
    /// Transfer rate of key/value memory between engines, in megabits per second.
    pub link_mbps: f64,
    /// Whether a running generation can move to another engine.
    pub can_move: bool,
    /// Whether an engine can replicate a running generation's memory to another engine in advance.
    pub can_replicate: bool,
    /// Number of tokens per event of a stream.
    pub stride: u32,
    /// Time for which an unused copy is kept.
    pub copy_retention: Duration,
    /// Longest lease on capacity that an engine grants; zero if it grants none.
    pub lease_time: Duration,
}
