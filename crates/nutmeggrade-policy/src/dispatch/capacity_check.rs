//! Free capacity of a service against what more urgent and older requests need.

use nutmeggrade_core::prelude::*;

/// Free capacity of a service against what more urgent and older requests need, at one moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct CapacityCheck {
    /// When it was determined.
    pub at: Moment,
    /// Mean size of the more urgent requests.
    pub urgent_size: u64,
    /// Whether these are short, so that they may use the memory that is not committed to others.
    pub is_short: bool,
    /// Free capacity that requests of this size can use.
    pub urgent_free: u64,
    /// Capacity that waiting more urgent requests need.
    pub demand: u64,
    /// Capacity to keep free for more urgent requests that are about to arrive.
    pub reserve: u64,
    /// Mean size of the requests of the same priority that wait at peers.
    pub same_size: u64,
    /// Free capacity that requests of this size can use.
    pub same_free: u64,
    /// Capacity that requests of the same priority at peers need.
    pub same_demand: u64,
    /// Earliest start deadline of these requests.
    pub earliest: Option<Moment>,
}

impl CapacityCheck {
    /// Returns whether more urgent requests need none of the free capacity.
    pub const fn is_unclaimed(&self) -> bool {
        self.demand == 0 && self.reserve == 0
    }

    /// Returns whether free capacity suffices for one of the more urgent requests.
    pub const fn has_urgent_room(&self) -> bool {
        self.urgent_free >= self.urgent_size
    }

    /// Returns whether enough remains for more urgent requests if `loss` of what they can use is
    /// taken.
    pub const fn leaves_enough(&self, loss: u64) -> bool {
        self.is_unclaimed()
            || self.urgent_free.saturating_sub(loss) >= self.demand.saturating_add(self.reserve)
    }
}
