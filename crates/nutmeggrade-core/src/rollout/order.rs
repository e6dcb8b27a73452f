//! Rollout orders from operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::{ServiceId, VersionId};

/// Distinguishes the orders of a service. An order that is recreated or changed to another version
/// has a different id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RolloutId {
    /// Revision of the store at which the order was created.
    #[serde(rename = "c")]
    pub created: u64,
    /// The version that the service moves to.
    #[serde(rename = "v")]
    pub version: VersionId,
}

/// An operator's order to move a service to endpoints of another version.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Id of the order among those of the service.
    #[serde(rename = "i")]
    pub id: RolloutId,
    /// Time within which the rollout must be decided.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "d")]
    pub duration: Duration,
}
