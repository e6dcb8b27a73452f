//! Timeouts of a call.

use std::time::Duration;

/// Timeouts of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallTimeouts {
    /// Longest time for the connection.
    pub connect: Duration,
    /// Longest time without a response, from when the server has read the request.
    pub silence: Duration,
}
