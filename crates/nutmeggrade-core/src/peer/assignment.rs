//! Assignment of endpoints to owning instances.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::{EndpointId, InstanceId};

/// Key of the newest assignment in the platform's object store.
pub const ASSIGNMENT_KEY: &str = "rights/assignment";

/// The members of one epoch; every endpoint has exactly one owner among them.
///
/// The object is replaced by conditional writes only, so there is exactly one assignment per epoch
/// even if instances disagree about membership. The owner is computed from the members by
/// rendezvous hashing: nothing is stored per endpoint, and if a member leaves, only its endpoints
/// move.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Number of membership changes, from 1; also the fencing token of orders.
    pub epoch: u64,
    /// Members with their incarnations; a restarted instance is a different member.
    pub members: BTreeMap<InstanceId, u64>,
    /// Time for which a confirmation of this epoch is valid.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
    /// Longest lease of any earlier epoch, which must expire before this epoch takes effect.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms")]
    pub wait: Duration,
}

impl Assignment {
    /// Creates the first assignment.
    pub const fn new(members: BTreeMap<InstanceId, u64>, lease: Duration) -> Self {
        Self { epoch: 1, members, lease, wait: lease }
    }

    /// Creates the assignment of the next epoch.
    #[must_use]
    pub fn next(&self, members: BTreeMap<InstanceId, u64>, lease: Duration) -> Self {
        Self { epoch: self.epoch + 1, members, lease, wait: self.wait.max(self.lease) }
    }

    /// Returns the owner of an endpoint with its incarnation; `None` without members.
    pub fn owner(&self, endpoint: &EndpointId) -> Option<(&InstanceId, u64)> {
        let weight = |instance: &InstanceId| {
            let text = format!("{instance}~{endpoint}");
            *blake3::hash(text.as_bytes()).as_bytes()
        };
        self.members.iter().max_by_key(|(i, _)| weight(i)).map(|(i, incarnation)| (i, *incarnation))
    }
}
