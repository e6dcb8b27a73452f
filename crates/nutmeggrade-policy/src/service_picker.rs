//! Replica selection for calls of plain services.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;

/// Selects the replica with the fewest calls in flight from this instance, and rotates among
/// equals.
#[derive(Debug, Default)]
pub struct ServicePicker {
    in_flight: BTreeMap<EndpointId, u32>,
    offset: usize,
}

impl ServicePicker {
    /// Creates a picker with no calls in flight.
    pub fn new() -> Self {
        Self::default()
    }

    /// Selects one of `usable` and counts the call; `None` if it is empty.
    pub fn pick<'a>(&mut self, usable: &[&'a EndpointId]) -> Option<&'a EndpointId> {
        self.offset = self.offset.wrapping_add(1);
        let count = usable.len();
        let order = (0..count).map(|i| usable[(i + self.offset) % count]);
        let best = order.min_by_key(|id| self.in_flight.get(*id).copied().unwrap_or(0))?;
        *self.in_flight.entry(best.clone()).or_default() += 1;
        Some(best)
    }

    /// Records that a call ended.
    pub fn end(&mut self, endpoint: &EndpointId) {
        if let Some(count) = self.in_flight.get_mut(endpoint) {
            *count = count.saturating_sub(1);
        }
        self.in_flight.retain(|_, c| *c > 0);
    }
}
