//! Positions in event streams.

/// Id of the last event that a client has received; later events have higher ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventPosition(pub u64);
