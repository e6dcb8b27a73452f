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

impl EngineSpec {
    /// Returns how long the memory of this many tokens takes between engines of one failure domain.
    pub fn copy_time(&self, tokens: u64) -> Duration {
        let bits = tokens as f64 * self.token_bytes as f64 * 8.0;
        let rate = (self.link_mbps * 1e6).max(1.0);
        Duration::try_from_secs_f64(bits / rate).unwrap_or(Duration::MAX)
    }
}
