//! One change of the prefix cache.

/// A prefix that was taken into the cache or dropped from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheChange {
    /// Names the prefix.
    pub prefix: u64,
    /// Whether it is in the cache now.
    pub kept: bool,
}
