//! Failures that a test can turn on.

use serde::{Deserialize, Serialize};

/// Failures of an engine, set by `POST /fault`; absent fields keep their value.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Turns the engine cold now.
    pub cold: Option<bool>,
    /// Multiplies the time of every step.
    pub slow: Option<u32>,
    /// Cuts every stream after this many more tokens; the generations go on.
    pub cut_after: Option<u64>,
    /// Stops every open stream after this many more tokens without closing it; the generations go on.
    pub stall_after: Option<u64>,
    /// Mixes tokens of another generation into every stream.
    pub cross: Option<bool>,
    /// Starts a resumed stream at the first token, whatever was asked for.
    pub rewind: Option<bool>,
    /// Sends every token twice.
    pub duplicate: Option<bool>,
    /// Crashes now.
    pub crash: Option<bool>,
    /// Refuses new generations.
    pub refuse: Option<bool>,
    /// Says that it is about to go.
    pub leaving: Option<bool>,
    /// Accepts new generations and never answers them.
    pub hang: Option<bool>,
    /// Obeys orders with old fencing numbers.
    pub ignore_fence: Option<bool>,
    /// Time that a load of weights takes, in milliseconds.
    pub load_ms: Option<u64>,
}
