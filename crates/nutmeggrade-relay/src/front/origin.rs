//! Where a connection comes from.

/// Where a connection comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A client.
    Client,
    /// A peer that forwards requests of its clients.
    Peer,
}
