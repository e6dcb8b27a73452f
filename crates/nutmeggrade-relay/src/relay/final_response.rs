//! The response that ends the handling of a request.

use bytes::Bytes;
use http::response::Parts;

use super::forwarding::PeerResponse;
use super::open_response::OpenResponse;

/// The response that ends the handling of a request.
pub enum FinalResponse {
    /// The body was read completely.
    Buffered(Parts, Bytes),
    /// Only the head was read.
    Open(Box<OpenResponse>),
    /// Only the head of a response that a peer passes on was read.
    Forwarded(Box<PeerResponse>),
}
