//! What instances tell each other of a roll-out.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{RolloutOrder, RolloutPhase};

/// What instances tell each other of a roll-out, with each heartbeat and at once when it changes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutNotice {
    /// The order.
    #[serde(rename = "o")]
    pub order: RolloutOrder,
    /// Revision of the store's object that the sender knows.
    #[serde(rename = "r")]
    pub revision: u64,
    /// How far the roll-out is.
    #[serde(rename = "p")]
    pub phase: RolloutPhase,
    /// Part of the service's requests that may go to the new version for the next moment; only whoever
    /// judges the roll-out grants any.
    #[serde(rename = "s")]
    pub share: f32,
    /// Time since the first instance knew of the order.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "a")]
    pub age: Duration,
}
