//! What came of an order.

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, InstanceId};

/// Prefix of the platform keys that hold what came of the orders, an object an engine.
pub const EFFECT_PREFIX: &str = "effects/";

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Waits for a share of the weight store.
    Waiting,
    /// Sent; the engine is at it.
    Sent,
    /// The engine refused it.
    Refused,
    /// Read back: the engine has and does what was ordered.
    Done,
}

/// What came of the orders to one engine, as its owner read it back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effect {
    /// Version of what was wanted.
    pub version: u64,
    /// The owner's epoch, which is the fencing number of its orders.
    pub epoch: u64,
    /// The owner.
    pub instance: InstanceId,
    /// How far it has come.
    pub progress: Progress,
    /// What was last sent or answered.
    pub detail: String,
}

impl Effect {
    /// Returns the platform key of an engine's effect.
    pub fn key(endpoint: &EndpointId) -> String {
        format!("{EFFECT_PREFIX}{endpoint}")
    }
}
