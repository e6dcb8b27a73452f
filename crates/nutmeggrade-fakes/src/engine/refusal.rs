//! Reasons for which an engine refuses a generation.

/// Reason for which an engine refuses a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The engine restarts, or is set to refuse all work.
    Down,
    /// A generation with this id was submitted before.
    Duplicate,
}
