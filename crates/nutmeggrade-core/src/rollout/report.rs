//! What an instance reports to those who judge a roll-out.

use serde::{Deserialize, Serialize};

use super::{RolloutId, RolloutPhase, RolloutTally};
use crate::id::{InstanceId, ServiceId};

/// What an instance reports to those who judge a roll-out: all that it counted since its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The sender.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Distinguishes two lives of an instance with the same name.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// The order.
    #[serde(rename = "o")]
    pub id: RolloutId,
    /// The phase that the sender has in force.
    #[serde(rename = "p")]
    pub phase: RolloutPhase,
    /// Requests that the sender has at endpoints of other versions.
    #[serde(rename = "r")]
    pub running: u32,
    /// What the sender counted.
    #[serde(rename = "t")]
    pub tally: RolloutTally,
}
