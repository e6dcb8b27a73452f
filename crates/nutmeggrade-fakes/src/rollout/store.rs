//! The platform's store, as far as a roll-out needs it.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutOrder, RolloutPhase, RolloutState, StoredRollout};
use nutmeggrade_state::rollout::StateChange;

/// The platform's store with one order.
#[derive(Debug)]
pub struct Store {
    /// The order as it lies there.
    pub object: StoredRollout,
    /// States in the order in which they were written.
    pub written: Vec<(RolloutState, Moment)>,
}

impl Store {
    /// Makes a store that holds a fresh order.
    pub fn new(order: &RolloutOrder) -> Self {
        Self { object: StoredRollout::new(order.clone(), 10, None), written: Vec::new() }
    }

    /// Writes a state if the object still has the revision.
    pub fn write(&mut self, change: &StateChange, now: Moment) {
        if change.revision != self.object.revision {
            return;
        }
        let order = self.object.order.clone();
        let revision = self.object.revision + 1;
        self.object = StoredRollout::new(order, revision, Some(change.state));
        self.written.push((change.state, now));
    }

    /// Returns the phase that the store stands for.
    pub fn phase(&self) -> RolloutPhase {
        self.object.phase
    }
}
