//! Which instance may use room that is too small for all.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use crate::mix::{hash, mix};

/// How long a lot holds: the time until what was let in shows in reports and heartbeats.
const HOLDS: Duration = Duration::from_millis(250);

/// Lots of one instance for one engine.
///
/// Answers room for one answer that seven instances see in the same report. Each would fill it, six
/// too many, and the engine preempts them a second later. Where the room is less than what all would
/// take, as many draw a winning lot on average as fit. Lots depend on seed and time alone, so that
/// asking twice gains nothing.
#[derive(Debug, Clone, Copy)]
pub struct Lots {
    seed: u64,
}

impl Lots {
    /// Makes the lots of an instance for an engine.
    pub fn new(seed: u64, endpoint: &EndpointId) -> Self {
        Self { seed: mix(seed) ^ hash(endpoint.as_str().as_bytes()) }
    }

    /// Says whether this instance has a lot now, if each of `sharers` wants `need` of `room`.
    pub fn win(&self, room: f64, need: f64, sharers: u32, now: Moment) -> bool {
        let all = need * f64::from(sharers);
        if room >= all {
            return true;
        }
        let window = now.since_start().as_millis() / HOLDS.as_millis();
        let window = u64::try_from(window).unwrap_or(u64::MAX);
        let drawn = (mix(self.seed ^ mix(window)) >> 11) as f64 / (1_u64 << 53) as f64;
        drawn * all < room
    }
}
