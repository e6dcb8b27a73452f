//! A simulated store that holds the object of one rollout.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutOrder, RolloutPhase, RolloutState, StoredRollout};
use nutmeggrade_state::rollout::StateChange;

/// A simulated store that holds the object of one rollout.
#[derive(Debug)]
pub struct Store {
    /// The stored object.
    pub object: StoredRollout,
    /// States with the times of their writes, oldest first.
    pub written: Vec<(RolloutState, Moment)>,
}

impl Store {
    /// Creates a store that holds a new order.
    pub fn new(order: &RolloutOrder) -> Self {
        Self { object: StoredRollout::new(order.clone(), 10, None), written: Vec::new() }
    }

    /// Writes a state if the change is based on the object's current revision.
    pub fn write(&mut self, change: &StateChange, now: Moment) {
        if change.revision != self.object.revision {
            return;
        }
        let order = self.object.order.clone();
        let revision = self.object.revision + 1;
        self.object = StoredRollout::new(order, revision, Some(change.state));
        self.written.push((change.state, now));
    }

    /// Returns the phase of the stored object.
    pub fn phase(&self) -> RolloutPhase {
        self.object.phase
    }
}
