//! Crashes that instances repeat to each other in heartbeats.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::EndpointCrash;

/// A crash of an endpoint under a request, and how long it still counts.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedCrash {
    /// The crash.
    #[serde(rename = "c")]
    pub crash: EndpointCrash,
    /// Time for which it counts against the request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "t")]
    pub time_left: Duration,
}
