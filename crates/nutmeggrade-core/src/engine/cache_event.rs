//! Prefix cache events, which engines publish late and with gaps.

use serde::{Deserialize, Serialize};

/// The addition or removal of a prefix in an engine's cache.
///
/// Numbers increase by one; a gap means lost events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the engine's event, from 1.
    pub number: u64,
    /// The engine's id of the prefix.
    pub prefix: u64,
    /// Whether the prefix is in the cache after the event.
    pub kept: bool,
}
