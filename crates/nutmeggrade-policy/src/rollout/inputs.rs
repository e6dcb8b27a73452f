//! Inputs of a rollout decision.

use std::time::Duration;

use nutmeggrade_core::rollout::{RolloutPhase, RolloutTally};

/// Capacity of the endpoints of both versions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Whether endpoints of other versions are registered.
    pub has_old: bool,
    /// Whether endpoints of the new version are registered.
    pub has_new: bool,
    /// Concurrent requests of all usable endpoints of other versions.
    pub old_slots: u32,
    /// Concurrent requests of all usable, warm endpoints of the new version.
    pub new_slots: u32,
    /// Requests that the service has in flight at all endpoints.
    pub running: u32,
}

/// Inputs of a rollout decision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RolloutInputs {
    /// Time since the first instance received the order.
    pub age: Duration,
    /// Time within which the rollout has to be decided.
    pub duration: Duration,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Counts of all instances.
    pub tally: RolloutTally,
    /// Capacity of the endpoints.
    pub capacity: Capacity,
    /// Generations at other versions, which have to end before these may stop.
    pub generations: u32,
    /// Whether a majority of the instances heard from in the last 30 seconds is still heard from.
    /// In a network partition each side has a deciding instance, and only the larger side may
    /// proceed.
    pub has_quorum: bool,
    /// Whether all instances heard from in the last 30 seconds have stopped sending to other
    /// versions and have nothing in flight there.
    pub is_clear: bool,
}
