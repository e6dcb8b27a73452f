//! Keys of prompt parts that may crash endpoints.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::id::{ModelId, ServiceId};

/// Key of a prompt part: a hash of its id, and of the service and model that get it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartKey(u64);

impl PartKey {
    /// Creates the key of the part with this id.
    pub fn new(service: &ServiceId, model: &ModelId, part: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        for name in [service.as_str(), model.as_str()] {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
        }
        hasher.update(&part.to_le_bytes());
        let hash = hasher.finalize();
        Self(u64::from_le_bytes(std::array::from_fn(|i| hash.as_bytes()[i])))
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
