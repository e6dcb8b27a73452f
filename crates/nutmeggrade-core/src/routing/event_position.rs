//! Where a stream stands.

/// The id of the last event that a client has; the next one is higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventPosition(pub u64);
