//! Objects of the platform's API.

use serde::{Deserialize, Serialize};

/// One object with the version that a conditional write names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Path-like key.
    pub key: String,
    /// Version of this object; grows with every write.
    pub version: u64,
    /// The value, at most one megabyte of JSON; absent if the object was removed.
    pub value: Option<serde_json::Value>,
}

/// Objects that changed under a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The store's revision after these changes; the next watch starts here.
    pub revision: u64,
    /// The changed objects in the order of their writes.
    pub objects: Vec<Object>,
}
