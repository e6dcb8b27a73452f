//! Which replica of a plain service gets a call.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;

/// Picks the replica with the fewest calls in flight from this instance, ties in turn.
#[derive(Debug, Default)]
pub struct ServicePicker {
    in_flight: BTreeMap<EndpointId, u32>,
    turn: usize,
}

impl ServicePicker {
    /// Makes a picker that has nothing in flight.
    pub fn new() -> Self {
        Self::default()
    }

    /// Picks out of `usable`; `None` if it is empty.
    pub fn pick<'a>(&mut self, usable: &[&'a EndpointId]) -> Option<&'a EndpointId> {
        self.turn = self.turn.wrapping_add(1);
        let count = usable.len();
        let order = (0..count).map(|i| usable[(i + self.turn) % count]);
        let best = order.min_by_key(|id| self.in_flight.get(*id).copied().unwrap_or(0))?;
        *self.in_flight.entry(best.clone()).or_default() += 1;
        Some(best)
    }

    /// Notes that a call ended.
    pub fn end(&mut self, endpoint: &EndpointId) {
        if let Some(count) = self.in_flight.get_mut(endpoint) {
            *count = count.saturating_sub(1);
        }
        self.in_flight.retain(|_, c| *c > 0);
    }
}
