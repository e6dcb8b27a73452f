//! Crashes under a prompt part that instances repeat to each other in heartbeats.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::PartKey;
use crate::id::EndpointId;

/// A crash of an endpoint under a prompt part, and how long it still counts.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The part.
    #[serde(rename = "p")]
    pub part: PartKey,
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: EndpointId,
    /// Start time of the endpoint's process, in Unix milliseconds.
    #[serde(rename = "b")]
    pub born: u64,
    /// Time from the beginning of the answer to the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "a")]
    pub alive: Duration,
    /// Time for which the crash counts against the part.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "t")]
    pub time_left: Duration,
}
