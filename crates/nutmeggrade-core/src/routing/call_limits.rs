//! Limits on clients' requests and connections.

use std::time::Duration;

/// Limits on request sizes and on the time that clients take, set by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request head to its end.
    pub head_timeout: Duration,
    /// Maximum time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallLimits {
    /// Returns the limits in force until the first configuration is read.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
