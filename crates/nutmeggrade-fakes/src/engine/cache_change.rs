//! A change of the prefix cache.

/// Insertion of a prefix into the cache, or its eviction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheChange {
    /// Id of the prefix.
    pub prefix: u64,
    /// Whether the prefix was inserted; false for an eviction.
    pub kept: bool,
}
