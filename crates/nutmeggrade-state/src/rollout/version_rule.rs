//! Rules for the work of endpoints by their version.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::RolloutPhase;

/// Work that an endpoint may get because of its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// All requests.
    Serving,
    /// Only the share of the requests selected for it.
    Canary,
    /// No requests.
    Held,
    /// No requests, and its running work moves elsewhere.
    Retired,
}

/// Work that the endpoints of a service may get by their version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionRule {
    /// The target version of the service.
    pub version: VersionId,
    /// Work for endpoints of that version.
    pub new: Standing,
    /// Work for all other endpoints.
    pub old: Standing,
}

impl VersionRule {
    /// Creates the rule that applies in a phase.
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

    /// Returns the work that an endpoint of a version may get.
    pub fn standing(&self, version: Option<&VersionId>) -> Standing {
        if version == Some(&self.version) { self.new } else { self.old }
    }
}
