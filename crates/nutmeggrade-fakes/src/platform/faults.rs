//! Failures that a test can turn on.

use serde::{Deserialize, Serialize};

/// Failures of the platform, set whole by `POST /fault`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers every call with 503.
    pub down: bool,
    /// Delays every call by this many milliseconds.
    pub slow_ms: u64,
    /// Performs this many writes and loses their answers.
    pub lose: u32,
    /// How far the list of endpoints lags, in milliseconds.
    pub lag_ms: u64,
}
