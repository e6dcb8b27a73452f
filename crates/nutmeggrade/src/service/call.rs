//! One call and its answer.

use bytes::Bytes;
use nutmeggrade_core::prelude::*;

use crate::caller::Caller;

/// One call of a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Who calls.
    pub caller: Caller,
    /// The service.
    pub service: ServiceId,
    /// The operation.
    pub operation: String,
    /// The JSON body, passed on as it is.
    pub body: Bytes,
}

/// The service's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the service named one.
    pub content: Option<String>,
    /// Body, byte for byte as it came.
    pub body: Bytes,
    /// Whether it was recorded by an earlier attempt.
    pub replayed: bool,
}
