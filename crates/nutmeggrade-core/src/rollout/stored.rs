//! Rollouts in the platform's store.

use serde::{Deserialize, Serialize};

use super::{RolloutOrder, RolloutPhase, RolloutState};

/// A rollout read from the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRollout {
    /// The order.
    pub order: RolloutOrder,
    /// Revision of the object's last change.
    pub revision: u64,
    /// The phase that corresponds to the stored state.
    pub phase: RolloutPhase,
    /// Whether a state was written for this order.
    pub is_begun: bool,
}

impl StoredRollout {
    /// Creates a rollout with the state that was written for this order, if any.
    pub const fn new(order: RolloutOrder, revision: u64, state: Option<RolloutState>) -> Self {
        let phase = match state {
            None | Some(RolloutState::InProgress) => RolloutPhase::Held,
            Some(RolloutState::Completed) => RolloutPhase::Completed,
            Some(RolloutState::Reverted) => RolloutPhase::Reverted,
        };
        Self { order, revision, phase, is_begun: state.is_some() }
    }
}
