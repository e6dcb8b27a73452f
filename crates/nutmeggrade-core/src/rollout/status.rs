//! Status of a rollout on one instance, for operators.

use serde::{Deserialize, Serialize};

use crate::id::{ServiceId, VersionId};

/// Path of the rollouts' status on the peer address.
pub const ROLLOUTS_PATH: &str = "/rollouts";

/// Status of a rollout on one instance, for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The service.
    pub service: ServiceId,
    /// The version that the service moves to.
    pub version: VersionId,
    /// Name of the phase.
    pub phase: String,
    /// Share of the requests that currently go to the new version.
    pub share: f64,
    /// Milliseconds since the first instance received the order.
    pub age_ms: u64,
    /// Time within which the rollout must be decided, in milliseconds.
    pub duration_ms: u64,
    /// Verdict on the new version; empty on an instance that does not evaluate the rollout.
    pub verdict: String,
    /// Number of requests for the service that the instance has counts of.
    pub requests: u32,
    /// Number of these requests that went to the new version.
    pub exposed: u32,
    /// Responses and failures of the new version.
    pub new: [u32; 2],
    /// Responses and failures of all other versions.
    pub old: [u32; 2],
}
