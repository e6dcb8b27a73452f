//! Phases of a rollout.

use serde::{Deserialize, Serialize};

/// Phase of a rollout.
///
/// If instances report different phases, the later one wins, so that a rollout never goes back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[repr(u8)]
#[serde(into = "u8", try_from = "u8")]
pub enum RolloutPhase {
    /// The new version receives no requests yet.
    #[default]
    Held,
    /// The new version receives a small share of the requests.
    Canary,
    /// All new requests go to the new version; running ones finish or move to it.
    Switching,
    /// No requests are left at the old version.
    Cleared,
    /// All new requests go to the old version again.
    Reverting,
    /// The store records that the new version serves; the old endpoints stop.
    Completed,
    /// The store records that the old version serves; the new endpoints drain.
    Reverted,
    /// The operator withdrew the order before it was decided.
    Withdrawn,
}

impl RolloutPhase {
    const ALL: [Self; 8] = [
        Self::Held,
        Self::Canary,
        Self::Switching,
        Self::Cleared,
        Self::Reverting,
        Self::Completed,
        Self::Reverted,
        Self::Withdrawn,
    ];

    /// Returns whether the rollout's decision is recorded in the store or its order was withdrawn.
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Completed | Self::Reverted | Self::Withdrawn)
    }

    /// Returns whether new requests go to the new version only.
    pub const fn is_switched(self) -> bool {
        matches!(self, Self::Switching | Self::Cleared | Self::Completed)
    }

    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Canary => "canary",
            Self::Switching => "switching",
            Self::Cleared => "cleared",
            Self::Reverting => "reverting",
            Self::Completed => "completed",
            Self::Reverted => "reverted",
            Self::Withdrawn => "withdrawn",
        }
    }
}

impl From<RolloutPhase> for u8 {
    fn from(phase: RolloutPhase) -> Self {
        phase as Self
    }
}

impl TryFrom<u8> for RolloutPhase {
    type Error = String;

    fn try_from(number: u8) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|phase| u8::from(*phase) == number);
        found.ok_or_else(|| format!("no phase {number}"))
    }
}
