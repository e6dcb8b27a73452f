//! Failures that a test can inject.

use serde::{Deserialize, Serialize};

/// Failures of a plain service; `POST /fault` replaces all of them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delays each call by this many milliseconds before it runs.
    pub before_ms: u64,
    /// Delays each response by this many milliseconds after the call ran.
    pub after_ms: u64,
    /// Runs this many calls and drops their responses.
    pub lose: u32,
    /// Refuses calls with 503 before they run.
    pub refuse: bool,
}
