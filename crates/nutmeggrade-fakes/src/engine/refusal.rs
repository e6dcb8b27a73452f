//! Why an engine does not take a generation.

/// Why an engine does not take a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It restarts, or was told to refuse everything.
    Down,
    /// It has a generation of that name.
    Known,
}
