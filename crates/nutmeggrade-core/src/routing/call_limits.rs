//! Bounds on what a client may send.

use std::time::Duration;

/// Bounds on what a client may send and how long it may take, set by operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Most time between the first byte of a head and its end.
    pub head_wait: Duration,
    /// Most time for which a connection may stay without a request.
    pub idle_wait: Duration,
}

impl Default for CallLimits {
    /// Limits before the first configuration: small heads, one mebibyte of body, three seconds.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_wait: Duration::from_secs(3),
            idle_wait: Duration::from_secs(15),
        }
    }
}
