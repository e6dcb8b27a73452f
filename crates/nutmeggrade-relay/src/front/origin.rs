//! Where a connection comes from.

use tokio::sync::OwnedSemaphorePermit;

/// Where a connection comes from.
#[derive(Debug)]
pub enum Origin {
    /// A client.
    Client,
    /// A peer that forwards requests of its clients; without a permit if peers have as many
    /// connections as they may have.
    Peer(Option<OwnedSemaphorePermit>),
}
