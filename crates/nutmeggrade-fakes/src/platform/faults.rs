//! Failures that a test can inject.

use serde::{Deserialize, Serialize};

/// Failures of the platform; `POST /fault` replaces all of them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Responds to every call with 503.
    pub down: bool,
    /// Delays every call by this many milliseconds.
    pub slow_ms: u64,
    /// Performs this many writes and drops their responses.
    pub lose: u32,
    /// Lag of the endpoint list, in milliseconds.
    pub lag_ms: u64,
}
