//! Rollout state shared between instances.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{RolloutOrder, RolloutPhase};

/// State of a rollout, sent with each heartbeat and immediately when it changes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutNotice {
    /// The order.
    #[serde(rename = "o")]
    pub order: RolloutOrder,
    /// Revision of the stored object that the sender has read.
    #[serde(rename = "r")]
    pub revision: u64,
    /// Phase of the rollout.
    #[serde(rename = "p")]
    pub phase: RolloutPhase,
    /// Share of the service's requests that may go to the new version for a short time; only the
    /// instances that evaluate the rollout grant any.
    #[serde(rename = "s")]
    pub share: f32,
    /// Time since the first instance received the order.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "a")]
    pub age: Duration,
}
