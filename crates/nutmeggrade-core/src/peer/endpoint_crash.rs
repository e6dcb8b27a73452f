//! Crash of an endpoint while it ran a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{CrashSuspect, Fingerprint, PartKey};
use crate::id::EndpointId;

/// Crash of an endpoint while it ran a request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCrash {
    /// The request.
    pub request: Fingerprint,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Start time of the endpoint's process, in Unix milliseconds.
    pub born: u64,
    /// Parts of the request's prompt that other requests may have too.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub parts: Vec<PartKey>,
    /// Time from the beginning of the answer to the crash; zero if there was no answer yet.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default)]
    pub alive: Duration,
}

impl EndpointCrash {
    /// Returns all that may have caused the crash.
    pub fn suspects(&self) -> impl Iterator<Item = CrashSuspect> {
        CrashSuspect::all(self.request, &self.parts)
    }
}
