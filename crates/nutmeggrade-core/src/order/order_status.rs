//! Progress of orders to engines.

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, InstanceId};

/// Key prefix of order results in the platform's object store, one object per engine.
pub const ORDER_STATUS_PREFIX: &str = "effects/";

/// Progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Progress {
    /// Waiting for a slot of the weight store.
    Waiting,
    /// Sent and being carried out by the engine.
    Sent,
    /// Refused by the engine.
    Refused,
    /// Confirmed by reading back the engine's state.
    Done,
}

/// Result of the latest orders to one engine, as read back by its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// Version of the desired state.
    pub version: u64,
    /// The owner's epoch, which is the fencing token of its orders.
    pub epoch: u64,
    /// The instance that owns the engine.
    pub instance: InstanceId,
    /// Progress of the orders.
    pub progress: Progress,
    /// The last order sent or response received.
    pub detail: String,
}

impl OrderStatus {
    /// Returns the key of an engine's object.
    pub fn key(endpoint: &EndpointId) -> String {
        format!("{ORDER_STATUS_PREFIX}{endpoint}")
    }
}
