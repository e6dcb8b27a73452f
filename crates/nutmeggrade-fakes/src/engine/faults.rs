//! Failures that a test can inject.

use serde::{Deserialize, Serialize};

/// Failures of an engine, set by `POST /fault`. An absent `cold`, `slow`, `ignore_fence` or
/// `load_ms` keeps its value; other absent faults are cleared.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Starts (`true`) or ends (`false`) a cold start.
    pub cold: Option<bool>,
    /// Multiplies the time of every step.
    pub slow: Option<u32>,
    /// Closes every open stream after this many tokens; the generations continue.
    pub cut_after: Option<u64>,
    /// Stalls every open stream after this many tokens, unclosed; the generations continue.
    pub stall_after: Option<u64>,
    /// Inserts tokens of another generation into every stream.
    pub cross: Option<bool>,
    /// Starts a resumed stream at the first token, whichever offset was requested.
    pub rewind: Option<bool>,
    /// Sends every token twice.
    pub duplicate: Option<bool>,
    /// Crashes the engine once.
    pub crash: Option<bool>,
    /// Refuses new generations.
    pub refuse: Option<bool>,
    /// Announces in load reports that the engine is about to leave.
    pub leaving: Option<bool>,
    /// Accepts requests for new generations and never responds.
    pub hang: Option<bool>,
    /// Applies orders with outdated fencing numbers.
    pub ignore_fence: Option<bool>,
    /// Time that loading weights takes, in milliseconds.
    pub load_ms: Option<u64>,
}
