//! Order of the waiting requests' lanes.

use nutmeggrade_core::prelude::*;

/// Key of a lane of waiting requests; lower keys get room first.
///
/// When load exceeds capacity for longer than users accept to wait, in a single queue every request
/// would wait slightly too long and every response would be late. Requests that can still be
/// completed in time go first; the others get only room that these don't use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneKey {
    /// Service that the requests go to.
    pub service: ServiceId,
    /// Whether the requests can no longer end in time.
    pub is_late: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
}

impl LaneKey {
    /// Returns the key for requests that can still be completed in time.
    pub fn on_time(service: &ServiceId, priority: u8) -> Self {
        Self { service: service.clone(), is_late: false, priority }
    }

    /// Returns the key for requests that can no longer end in time.
    pub fn late(service: &ServiceId, priority: u8) -> Self {
        Self { service: service.clone(), is_late: true, priority }
    }
}
