//! What an engine publishes about its prefix cache, late and with gaps.

use serde::{Deserialize, Serialize};

/// A prefix that came into an engine's cache or left it.
///
/// Numbers grow by one; a missing one is an event that was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events from 1.
    pub number: u64,
    /// The engine's name for the prefix.
    pub prefix: u64,
    /// Whether it is in the cache now.
    pub kept: bool,
}
