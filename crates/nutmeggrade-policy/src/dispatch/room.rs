//! Whether an endpoint has room, and which of several is better.

use super::{Candidate, Need, Placed};

/// Part of an engine's memory that is promised away.
///
/// What running generations will take in the end is counted from their start, and most are at half
/// of it, so that the engine itself is never full. The rest covers answers that grow beyond what
/// their clients estimated.
const MEMORY_PROMISED: f64 = 0.95;
/// Requests in an endpoint's own queue for each of its slots, before requests wait here. A short
/// queue there keeps its slots busy between two requests; a long one can't be reordered any more.
const OVERBOOKED: f64 = 1.5;
/// Tokens of prompts that an engine has to read before further ones wait here. An engine reads some
/// ten tokens a millisecond beside its answers, so this is about a second; what waits there longer
/// can't go elsewhere when another engine is free or this one leaves.
const MOST_READING: u64 = 8_000;
/// How much one recent failure counts, as a part of an endpoint's capacity.
const TROUBLE: f64 = 0.15;
/// Most that failures count: above it all that fail look alike, and load decides among them.
const MOST_TROUBLE: f64 = 0.9;
/// How much more of its answers an endpoint may fail than the best one before that counts; chance makes about as
/// much.
const FAILING_FROM: f64 = 0.1;
/// How much an endpoint that fails everything counts, in endpoints that are full: it is used only where nothing
/// else has room.
const FAILING: f64 = 4.0;
/// Prompt tokens being read that count as much as a full engine: reading them takes about a third
/// of the time to a first event that users are content with.
const READING_FULL: f64 = 9_000.0;

/// Says whether an endpoint has room for a request beside what is placed there.
///
/// Answers engines whose memory runs out in the middle of answers: the newest is then preempted and
/// read in again, its client sees the stream stop, and the engine works for nothing. Memory is
/// counted by what answers will take in the end.
pub fn fits(candidate: &Candidate, placed: &Placed, need: &Need) -> bool {
    if candidate.cold_left == Some(0) {
        return false;
    }
    match candidate.memory {
        Some(memory) => {
            let promised = memory as f64 * MEMORY_PROMISED;
            let is_alone = placed.requests == 0 && need.memory <= memory;
            let reads_soon = placed.reading == 0 || placed.reading + need.prompt <= MOST_READING;
            reads_soon
                && placed.requests < candidate.slots.max(1)
                && (is_alone || (placed.memory + need.memory) as f64 <= promised)
        }
        None => f64::from(placed.requests) < f64::from(candidate.slots.max(1)) * OVERBOOKED,
    }
}

/// Says how unattractive an endpoint is; 1 is about one that is full.
pub fn score(candidate: &Candidate, placed: &Placed, trouble: f64) -> f64 {
    let slots = f64::from(placed.requests) / f64::from(candidate.slots.max(1));
    let load = match candidate.memory {
        Some(memory) => {
            let memory = placed.memory as f64 / memory.max(1) as f64;
            memory.max(slots) + (placed.reading + placed.moving) as f64 / READING_FULL
        }
        None => slots,
    };
    load + (trouble * TROUBLE).min(MOST_TROUBLE)
}

/// Says how unattractive an endpoint is that fails a larger part of its answers than the best one.
///
/// Answers endpoints that are well by their own word and fail what they get. Each instance of a large fleet
/// sends one of them a few requests a second, and by its own failures alone learns of it after most are lost.
pub fn failing_penalty(excess: f64) -> f64 {
    (excess - FAILING_FROM).max(0.0) * FAILING
}
