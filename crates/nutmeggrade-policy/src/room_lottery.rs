//! Shared allocation of room that is too small for all instances.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use crate::hash::{hash_bytes, mix_bits};

/// Time for which a draw is valid: until admitted requests show in reports and heartbeats.
const DRAW_WINDOW: Duration = Duration::from_millis(250);

/// Draws which instances may use the room of an engine.
///
/// When several instances see the same room for one response in a report, each would fill it, and
/// the engine would preempt the excess responses a second later. Where the room is less than all
/// instances together would take, on average as many instances win the draw as fit. Draws depend on
/// seed and time alone, so that a repeated call gives no second chance.
#[derive(Debug, Clone, Copy)]
pub struct RoomLottery {
    seed: u64,
}

impl RoomLottery {
    /// Creates the draws of an instance for an engine.
    pub fn new(seed: u64, endpoint: &EndpointId) -> Self {
        Self { seed: mix_bits(seed) ^ hash_bytes(endpoint.as_str().as_bytes()) }
    }

    /// Returns whether this instance may use the room, if each of `instance_count` instances needs
    /// `tokens` of `room`.
    pub fn win(&self, room: f64, tokens: f64, instance_count: u32, now: Moment) -> bool {
        let total_tokens = tokens * f64::from(instance_count);
        if room >= total_tokens {
            return true;
        }
        let window = now.since_start().as_millis() / DRAW_WINDOW.as_millis();
        let window = u64::try_from(window).unwrap_or(u64::MAX);
        let uniform = (mix_bits(self.seed ^ mix_bits(window)) >> 11) as f64 / (1_u64 << 53) as f64;
        uniform * total_tokens < room
    }
}
