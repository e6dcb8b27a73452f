//! Rules for the work of endpoints by their version.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::RolloutPhase;

/// Work that an endpoint may get because of its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionRole {
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
    pub new: VersionRole,
    /// Work for all other endpoints.
    pub old: VersionRole,
}

impl VersionRule {
    /// Creates the rule that applies in a phase.
    pub fn new(version: &VersionId, phase: RolloutPhase) -> Self {
        use RolloutPhase::{
            Canary, Cleared, Completed, Held, Reverted, Reverting, Switching, Withdrawn,
        };
        let (old, new) = match phase {
            Held | Withdrawn => (VersionRole::Serving, VersionRole::Held),
            Canary => (VersionRole::Serving, VersionRole::Canary),
            Switching | Cleared | Completed => (VersionRole::Retired, VersionRole::Serving),
            Reverting | Reverted => (VersionRole::Serving, VersionRole::Retired),
        };
        Self { version: version.clone(), new, old }
    }

    /// Returns the work that an endpoint of a version may get.
    pub fn role(&self, version: Option<&VersionId>) -> VersionRole {
        if version == Some(&self.version) { self.new } else { self.old }
    }
}
