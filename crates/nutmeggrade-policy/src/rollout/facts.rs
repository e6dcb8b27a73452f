//! What is known of a roll-out when it is judged.

use std::time::Duration;

use nutmeggrade_core::rollout::{RolloutPhase, RolloutTally};

/// What endpoints of both versions can bear.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Whether endpoints of other versions are registered.
    pub has_old: bool,
    /// Whether endpoints of the new version are registered.
    pub has_new: bool,
    /// Requests that usable endpoints of other versions work on at a time.
    pub old_slots: u32,
    /// Requests that usable, warm endpoints of the new version work on at a time.
    pub new_slots: u32,
    /// Requests that the service has at all endpoints.
    pub running: u32,
}

/// What is known of a roll-out when it is judged.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Facts {
    /// Time since the first instance knew of the order.
    pub age: Duration,
    /// Time in which it has to be decided.
    pub duration: Duration,
    /// How far it is.
    pub phase: RolloutPhase,
    /// What all instances counted.
    pub tally: RolloutTally,
    /// What the endpoints can bear.
    pub capacity: Capacity,
    /// Generations at other versions that have to move before these may stop.
    pub movable: u32,
    /// Whether most of the instances that were heard in the last half a minute still are. Both sides of a cut
    /// have a judge, and only the larger one may go on.
    pub has_quorum: bool,
    /// Whether all instances that were heard in the last half a minute send nothing to other versions any more
    /// and have nothing there.
    pub is_clear: bool,
}
