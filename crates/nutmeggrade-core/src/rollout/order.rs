//! An operator's order to move a service to another version.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::{ServiceId, VersionId};

/// Tells the orders of one service apart. An order that is written anew, or changed to another version,
/// is another one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RolloutId {
    /// Revision of the store at which the object was created.
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
    /// Which order of the service it is.
    #[serde(rename = "i")]
    pub id: RolloutId,
    /// Time in which it has to be decided.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "d")]
    pub duration: Duration,
}
