//! What endpoints of two versions may get.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::RolloutPhase;

/// What an endpoint may get because of its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Every request.
    Serving,
    /// Requests that are drawn for it.
    Canary,
    /// Nothing.
    Held,
    /// Nothing, and what runs there goes elsewhere.
    Retired,
}

/// What the endpoints of a service may get by their version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRule {
    /// The version that the service moves to.
    pub version: VersionId,
    /// What endpoints of that version may get.
    pub new: Standing,
    /// What all others may get.
    pub old: Standing,
}

impl VersionRule {
    /// Makes the rule of a phase; none where the version makes no difference.
    pub fn new(version: &VersionId, phase: RolloutPhase) -> Self {
        use RolloutPhase::{
            Canary, Cleared, Completed, Held, Reverted, Reverting, Switching, Withdrawn,
        };
        let (old, new) = match phase {
            Held | Withdrawn => (Standing::Serving, Standing::Held),
            Canary => (Standing::Serving, Standing::Canary),
            Switching | Cleared | Completed => (Standing::Retired, Standing::Serving),
            Reverting | Reverted => (Standing::Serving, Standing::Retired),
        };
        Self { version: version.clone(), new, old }
    }

    /// Returns what an endpoint of a version may get.
    pub fn standing(&self, version: Option<&VersionId>) -> Standing {
        if version == Some(&self.version) { self.new } else { self.old }
    }
}
