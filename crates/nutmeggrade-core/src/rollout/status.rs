//! A roll-out as an instance shows it to operators.

use serde::{Deserialize, Serialize};

use crate::id::{ServiceId, VersionId};

/// Where an instance shows roll-outs, on the address for peers.
pub const ROLLOUTS_PATH: &str = "/rollouts";

/// A roll-out as an instance shows it to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceId,
    /// The version that it moves to.
    pub version: VersionId,
    /// How far it is, by name.
    pub phase: String,
    /// Part of the requests that go to the new version now.
    pub share: f64,
    /// Milliseconds since the first instance knew of the order.
    pub age_ms: u64,
    /// Milliseconds in which it has to be decided.
    pub duration_ms: u64,
    /// What the evidence says; empty on an instance that does not judge the roll-out.
    pub verdict: String,
    /// Requests for the service that the instance knows of.
    pub requests: u32,
    /// Requests of these that went to the new version.
    pub exposed: u32,
    /// Answers and failures of the new version.
    pub new: [u32; 2],
    /// Answers and failures of all other versions.
    pub old: [u32; 2],
}
