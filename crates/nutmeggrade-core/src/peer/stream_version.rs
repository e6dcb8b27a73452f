//! Versions at which streams began.

use serde::{Deserialize, Serialize};

use super::StreamKey;
use crate::id::VersionId;

/// The software version of the endpoint that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamVersion {
    /// The stream.
    #[serde(rename = "s")]
    pub stream: StreamKey,
    /// The version.
    #[serde(rename = "v")]
    pub version: VersionId,
}
