//! A service call and its response.

use bytes::Bytes;
use nutmeggrade_core::prelude::*;
use nutmeggrade_relay::intake::ConnectionMemory;

use crate::caller::Caller;

/// A call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Sender of the call.
    pub caller: Caller,
    /// Called service.
    pub service: ServiceId,
    /// Called operation.
    pub operation: String,
    /// JSON body, forwarded unchanged.
    pub body: Bytes,
    /// What the caller's connection holds.
    pub memory: ConnectionMemory,
}

/// Response of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the service set one.
    pub content_type: Option<String>,
    /// Body, forwarded unchanged.
    pub body: Bytes,
    /// Whether the response is the recorded one of an earlier attempt.
    pub replayed: bool,
}
