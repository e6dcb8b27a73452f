//! An endpoint's response whose body is still to be read.

use super::exchange::EndpointResponse;
use super::reservation::Reservation;

/// A response whose body is still to be read, with the reservation at its endpoint.
pub struct OpenResponse {
    /// The response.
    pub response: EndpointResponse,
    /// The reservation at the endpoint.
    pub reservation: Reservation,
}
