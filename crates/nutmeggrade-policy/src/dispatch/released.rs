//! Memory that requests have released.

use std::ops::AddAssign;

use super::PlacedLoad;

/// Memory that was released at an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Released {
    /// Number of releases.
    pub count: u32,
    /// Memory in tokens.
    pub memory: u64,
}

impl Released {
    /// Returns what a request releases at its end.
    pub const fn end(memory: u64) -> Self {
        Self { count: if memory > 0 { 1 } else { 0 }, memory }
    }

    /// Returns what was released at least if the load of a peer has changed from `old` to `new`.
    ///
    /// Under hard load a peer places a request as soon as another ends and reports both together.
    /// Prompt tokens that are new show the request that was placed.
    pub const fn between(old: &PlacedLoad, new: &PlacedLoad) -> Self {
        let begun = new.reading.saturating_sub(old.reading);
        Self::end(old.memory.saturating_add(begun).saturating_sub(new.memory))
    }

    /// Returns this with at most `memory` tokens.
    #[must_use]
    pub fn at_most(self, memory: u64) -> Self {
        Self { memory: self.memory.min(memory), ..self }
    }
}

impl AddAssign for Released {
    fn add_assign(&mut self, rhs: Self) {
        self.count = self.count.saturating_add(rhs.count);
        self.memory = self.memory.saturating_add(rhs.memory);
    }
}
