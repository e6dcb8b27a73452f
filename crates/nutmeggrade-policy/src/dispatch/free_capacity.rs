//! Free capacity of an endpoint, as far as requests of one size can use it.

use super::room::{REQUESTS_PER_SLOT, committable};
use super::{Candidate, DispatchRequest, PlacedLoad};
use crate::queue::{units, whole};

/// Returns the free memory of an engine that has a free slot, or the free slots of a plain endpoint.
pub fn free(candidate: &Candidate, placed: &PlacedLoad, is_short: bool) -> u64 {
    if candidate.cold_left == Some(0) {
        return 0;
    }
    match candidate.memory {
        Some(_) if placed.requests >= candidate.slots.max(1) => 0,
        Some(memory) => committable(memory, is_short).saturating_sub(placed.memory),
        None => {
            let slots = whole(f64::from(candidate.slots.max(1)) * REQUESTS_PER_SLOT);
            slots.saturating_sub(u64::from(placed.requests))
        }
    }
}

/// Returns the free capacity that requests of a size can use: a remainder that is smaller than one
/// of them is of no use to them.
pub fn usable(candidate: &Candidate, placed: &PlacedLoad, size: u64, is_short: bool) -> u64 {
    let size = if candidate.memory.is_some() { size.max(1) } else { 1 };
    let slots = u64::from(candidate.slots.max(1).saturating_sub(placed.requests));
    let fitting = free(candidate, placed, is_short) / size;
    let fitting = if candidate.memory.is_some() { fitting.min(slots) } else { fitting };
    fitting.saturating_mul(size)
}

/// Returns the capacity that requests of a size can no longer use once a request is placed.
pub fn loss(
    candidate: &Candidate,
    placed: &PlacedLoad,
    request: &DispatchRequest,
    size: u64,
    is_short: bool,
) -> u64 {
    let mut after = *placed;
    let memory = if candidate.memory.is_some() { units(request) } else { 0 };
    after += PlacedLoad { requests: 1, memory, ..PlacedLoad::default() };
    let before = usable(candidate, placed, size, is_short);
    before.saturating_sub(usable(candidate, &after, size, is_short))
}
