//! The order in which those who wait get room.

use nutmeggrade_core::prelude::*;

/// The place of a waiting request's line. Lower ones get room first.
///
/// Answers more load than there is room for, for longer than users are content to wait. In one line
/// everybody waits just too long, and every answer is late. Requests that can still be answered in
/// time go first; those that can't wait behind them for room that nobody else wants.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// The service.
    pub service: ServiceId,
    /// Whether it is too late for an answer in time.
    pub is_late: bool,
    /// Rank of the request; 0 is the most urgent.
    pub priority: u8,
}

impl LineKey {
    /// Names the line of requests that can still be answered in time.
    pub fn fresh(service: &ServiceId, priority: u8) -> Self {
        Self { service: service.clone(), is_late: false, priority }
    }

    /// Names the line of those that can't.
    pub fn late(service: &ServiceId, priority: u8) -> Self {
        Self { service: service.clone(), is_late: true, priority }
    }
}
