//! Load that instances place on an endpoint.

use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// Requests of one or more instances at an endpoint, and the capacity that they use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, u64, u64, u64)", into = "(u32, u64, u64, u64)")]
pub struct PlacedLoad {
    /// Number of requests.
    pub requests: u32,
    /// Expected final memory use of the requests, in tokens.
    pub memory: u64,
    /// Prompt tokens that are still to be prefilled.
    pub reading: u64,
    /// Tokens of generations being copied to or from the endpoint.
    pub moving: u64,
}

impl From<(u32, u64, u64, u64)> for PlacedLoad {
    fn from((requests, memory, reading, moving): (u32, u64, u64, u64)) -> Self {
        Self { requests, memory, reading, moving }
    }
}

impl From<PlacedLoad> for (u32, u64, u64, u64) {
    fn from(placed: PlacedLoad) -> Self {
        (placed.requests, placed.memory, placed.reading, placed.moving)
    }
}

impl AddAssign for PlacedLoad {
    fn add_assign(&mut self, rhs: Self) {
        self.requests = self.requests.saturating_add(rhs.requests);
        self.memory = self.memory.saturating_add(rhs.memory);
        self.reading = self.reading.saturating_add(rhs.reading);
        self.moving = self.moving.saturating_add(rhs.moving);
    }
}

impl SubAssign for PlacedLoad {
    fn sub_assign(&mut self, rhs: Self) {
        self.requests = self.requests.saturating_sub(rhs.requests);
        self.memory = self.memory.saturating_sub(rhs.memory);
        self.reading = self.reading.saturating_sub(rhs.reading);
        self.moving = self.moving.saturating_sub(rhs.moving);
    }
}
