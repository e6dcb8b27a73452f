//! What all engines of a service have in common.

use std::time::Duration;

/// What all engines of a service have in common.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Generations that one engine runs at a time.
    pub slots: u32,
    /// Key/value memory of one engine, in tokens.
    pub memory: u64,
    /// Bytes of key/value memory for each token.
    pub token_bytes: u64,
    /// Rate at which an engine's memory travels to another, in megabits a second.
    pub link_mbps: f64,
    /// Whether a running generation can move to another engine.
    pub moves: bool,
    /// Whether an engine can send a running generation's memory ahead to another engine.
    pub replicas: bool,
    /// Tokens in one event of a stream.
    pub stride: u32,
    /// How long a copy is kept that nobody takes up.
    pub copy_keep: Duration,
}
