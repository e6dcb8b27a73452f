//! Reports to the instances that evaluate a rollout.

use serde::{Deserialize, Serialize};

use super::{RolloutId, RolloutPhase, RolloutTally};
use crate::id::{InstanceId, ServiceId};

/// An instance's counts since its start, sent to the instances that evaluate the rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The sender.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Distinguishes restarts of an instance under the same name.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Id of the order.
    #[serde(rename = "o")]
    pub id: RolloutId,
    /// The phase that the sender has in force.
    #[serde(rename = "p")]
    pub phase: RolloutPhase,
    /// Number of the sender's requests running at endpoints of other versions.
    #[serde(rename = "r")]
    pub running: u32,
    /// The sender's counts.
    #[serde(rename = "t")]
    pub tally: RolloutTally,
}
