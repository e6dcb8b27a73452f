//! Proof that a suspect crashes no endpoint.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::CrashSuspect;

/// Proof that a suspect crashed no endpoint up to some time ago: an answer with it was completed, or
/// went on long after the suspect's crashes came.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refutation {
    /// The suspect.
    #[serde(rename = "s")]
    pub suspect: CrashSuspect,
    /// Whether the answer was completed.
    #[serde(rename = "c", default)]
    pub completed: bool,
    /// Time since then.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "a")]
    pub age: Duration,
}
