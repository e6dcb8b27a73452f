//! Reports between instances about requests that may crash engines.

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
    /// Creates a prompt hash from the first 16 bytes of a hash.
    pub const fn new(bytes: [u8; 16]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for PromptHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// A crash of an engine while it ran a request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The engine.
    pub engine: EndpointId,
    /// Time since the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
    /// Whether the crash came before the request's first token.
    #[serde(rename = "first")]
    pub before_token: bool,
    /// Whether the request was the only suspect running in the fleet.
    pub trial: bool,
}

/// One instance's observations about a suspected request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Hash of the request.
    pub request: PromptHash,
    /// Crashes that this instance observed.
    pub crashes: Vec<Crash>,
    /// Time since the request's first token after a crash.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "cleared_ms")]
    pub cleared: Option<Duration>,
    /// Time since the request's response completed after a crash.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "whole_ms")]
    pub whole: Option<Duration>,
    /// Whether the request waits for a trial run on this instance.
    pub waiting: bool,
    /// Whether the request's trial run is in progress on this instance.
    pub running: bool,
}
