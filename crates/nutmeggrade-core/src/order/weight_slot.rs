//! Slots that bound concurrent loads from the weight store.

use serde::{Deserialize, Serialize};

use crate::id::{EndpointId, InstanceId};

/// Key prefix of the slots in use in the platform's object store.
pub const WEIGHT_PREFIX: &str = "weights/";

/// A slot held by a load from the weight store.
///
/// The store is rate-limited: if the whole fleet loaded a new version at once, each load would be
/// very slow and engines would stay cold for hours. The preset sets the number of slots; each is an
/// object created only if absent, so two owners can't hold the same slot. A slot belongs to its
/// engine rather than to its owner: after a change of ownership the next owner continues with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightSlot {
    /// The engine that loads.
    pub endpoint: EndpointId,
    /// The owner that acquired the slot.
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
