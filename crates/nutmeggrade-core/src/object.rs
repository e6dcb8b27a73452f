//! Objects in the platform's store.

use serde::{Deserialize, Serialize};

/// A stored object with the version that conditional writes compare.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key, with segments separated by slashes.
    pub key: String,
    /// Version of the object; increases with every write.
    pub version: u64,
    /// JSON value of at most one megabyte; absent if the object was removed.
    pub value: Option<serde_json::Value>,
}

/// Changed objects under a key prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The store's revision after these changes, from which the next watch continues.
    pub revision: u64,
    /// The changed objects in write order.
    pub objects: Vec<Object>,
}
