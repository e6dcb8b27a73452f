//! Failures that a test can turn on.

use serde::{Deserialize, Serialize};

/// Failures of a plain service, set whole by `POST /fault`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Delays each call by this many milliseconds before it runs.
    pub before_ms: u64,
    /// Delays each answer by this many milliseconds after the call ran.
    pub after_ms: u64,
    /// Runs this many calls and loses their answers.
    pub lose: u32,
    /// Refuses calls with 503 before they run.
    pub refuse: bool,
}
