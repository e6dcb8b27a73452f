//! Why a request leaves free capacity to others.

/// Why a request leaves free capacity to requests at this or other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum YieldReason {
    /// More urgent requests wait, or are about to arrive.
    Urgent,
    /// An older request of the same priority waits at a peer.
    Older,
}

impl YieldReason {
    /// All reasons.
    pub const ALL: [Self; 2] = [Self::Urgent, Self::Older];

    /// Returns the name used in metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Older => "older",
        }
    }
}
