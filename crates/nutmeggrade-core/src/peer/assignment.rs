//! Which instance owns which endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::{EndpointId, InstanceId};

/// Key of the platform object that holds the newest assignment.
pub const ASSIGNMENT_KEY: &str = "rights/assignment";

/// The members of one epoch; every endpoint has exactly one owner among them.
///
/// The object is replaced by conditional writes only, so there is one assignment for each epoch,
/// whatever two instances believe about each other. The owner follows from the members by
/// rendezvous hashing: nothing is stored per endpoint, and a member that goes moves only its own.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Counts the changes of membership, from 1; also the fencing number of orders.
    pub epoch: u64,
    /// Each member with its incarnation: a restarted instance is another member.
    pub members: BTreeMap<InstanceId, u64>,
    /// How long a confirmed contact with this epoch counts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    pub lease: Duration,
    /// Longest lease of any earlier epoch; it is waited out before this epoch takes effect.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms")]
    pub wait: Duration,
}

impl Assignment {
    /// Makes the first assignment.
    pub const fn new(members: BTreeMap<InstanceId, u64>, lease: Duration) -> Self {
        Self { epoch: 1, members, lease, wait: lease }
    }

    /// Makes the assignment of the next epoch.
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
        self.members.iter().max_by_key(|(i, _)| weight(i)).map(|(i, life)| (i, *life))
    }
}
