//! State of a rollout shown to operators.

/// State of a rollout that operators read in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutState {
    /// The rollout is not decided.
    InProgress,
    /// The new version serves.
    Completed,
    /// The old version serves.
    Reverted,
}

impl RolloutState {
    /// Returns the name used in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
        }
    }
}
