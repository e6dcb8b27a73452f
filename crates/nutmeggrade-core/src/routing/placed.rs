//! What instances have at an endpoint.

use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// Requests that one or several instances have at an endpoint, and what these take of it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u64, u64, u64)", into = "(u32, u64, u64, u64)")]
pub struct Placed {
    /// Requests.
    pub requests: u32,
    /// Memory that they will probably take in the end, in tokens.
    pub memory: u64,
    /// Tokens of prompts that are still being read.
    pub reading: u64,
    /// Tokens of generations that are being copied to or from it.
    pub moving: u64,
}

impl From<(u32, u64, u64, u64)> for Placed {
    fn from((requests, memory, reading, moving): (u32, u64, u64, u64)) -> Self {
        Self { requests, memory, reading, moving }
    }
}

impl From<Placed> for (u32, u64, u64, u64) {
    fn from(placed: Placed) -> Self {
        (placed.requests, placed.memory, placed.reading, placed.moving)
    }
}

impl AddAssign for Placed {
    fn add_assign(&mut self, rhs: Self) {
        self.requests = self.requests.saturating_add(rhs.requests);
        self.memory = self.memory.saturating_add(rhs.memory);
        self.reading = self.reading.saturating_add(rhs.reading);
        self.moving = self.moving.saturating_add(rhs.moving);
    }
}

impl SubAssign for Placed {
    fn sub_assign(&mut self, rhs: Self) {
        self.requests = self.requests.saturating_sub(rhs.requests);
        self.memory = self.memory.saturating_sub(rhs.memory);
        self.reading = self.reading.saturating_sub(rhs.reading);
        self.moving = self.moving.saturating_sub(rhs.moving);
    }
}
