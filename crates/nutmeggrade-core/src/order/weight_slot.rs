//! Shares of the weight store.

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, InstanceId};

/// Prefix of the platform keys that hold the slots in use.
pub const WEIGHT_PREFIX: &str = "weights/";

/// One load from the weight store that is under way.
///
/// The store is rate-limited: a fleet that loads a new version everywhere at once would be served at
/// a crawl, and engines would stand cold for hours. As many slots exist as the preset lets load at a
/// time; each is an object created only if absent, so no two owners hold the same one. A slot names
/// its engine, not its owner: the next owner goes on with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightSlot {
    /// The engine that loads.
    pub endpoint: EndpointId,
    /// The owner that took it.
    pub instance: InstanceId,
    /// The owner's epoch.
    pub epoch: u64,
}

impl WeightSlot {
    /// Returns the platform key of a slot.
    pub fn key(slot: u32) -> String {
        format!("{WEIGHT_PREFIX}{slot:04}")
    }
}
