//! Capacity that may be used for a request.

/// Which capacity may be used for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Limit {
    /// What is committed to requests.
    Committed,
    /// All memory of the engines.
    Whole,
    /// What is committed, as far as it stayed unused while requests waited.
    Unused,
}
