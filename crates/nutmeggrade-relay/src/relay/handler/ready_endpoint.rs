//! An endpoint to which a request can be sent at once.

use crate::relay::exchange::OpenConnection;
use crate::relay::lease_result::LeaseResult;
use crate::relay::reservation::Reservation;

/// An endpoint to which a request can be sent at once: it has room, and its connection is open.
#[derive(Debug)]
pub struct ReadyEndpoint {
    /// The room.
    pub reservation: Reservation,
    /// What became of the lease on its capacity.
    pub lease: LeaseResult,
    /// The connection.
    pub connection: OpenConnection,
}
