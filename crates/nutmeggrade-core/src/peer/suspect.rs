//! What instances tell each other about requests that may crash engines.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::hex::Hex;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::EndpointId;

/// Hash of a request's workspace, model and prompt.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptHash(#[serde_as(as = "Hex")] [u8; 16]);

impl PromptHash {
    /// Wraps the first 16 bytes of a hash.
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for PromptHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// An engine crashed while it ran a request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The engine.
    pub engine: EndpointId,
    /// How long ago.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
    /// Whether no token of the request had come.
    pub first: bool,
    /// Whether the request was the only suspect that ran anywhere.
    pub trial: bool,
}

/// What one instance knows of one request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub request: PromptHash,
    /// Crashes that this instance saw.
    pub crashes: Vec<Crash>,
    /// How long ago its first token came after a crash.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "cleared_ms")]
    pub cleared: Option<Duration>,
    /// How long ago its answer was whole after a crash.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "whole_ms")]
    pub whole: Option<Duration>,
    /// Whether it waits for a trial here.
    pub waiting: bool,
    /// Whether its trial runs here.
    pub running: bool,
}
