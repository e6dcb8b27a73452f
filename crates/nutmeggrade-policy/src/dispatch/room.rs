//! Capacity checks and scores of endpoints.

use nutmeggrade_core::prelude::*;

use super::{Candidate, DispatchRequest, PaceView, PlacedLoad};
use crate::queue::whole;

/// Fraction of an engine's memory that is committed to requests.
///
/// Requests are counted with their final memory from their start, and most are halfway there, so
/// that the engine itself is never full. The rest covers responses that grow beyond their clients'
/// estimates.
const COMMITTED_MEMORY_SHARE: f64 = 0.95;
/// Requests per slot sent to an endpoint of a plain service before further ones wait here. A short
/// queue at the endpoint keeps its slots busy between two requests; a long one can't be reordered
/// any more.
pub const REQUESTS_PER_SLOT: f64 = 1.5;
/// Prompt tokens that an engine has to read before further prompts wait here. An engine reads some
/// ten tokens a millisecond beside its responses, so this is about a second; a prompt that waits
/// longer at the engine can't move to another engine that becomes free, or when this one leaves.
const MAX_PENDING_PROMPT_TOKENS: u64 = 8_000;
/// Score penalty of a recent failure, as a fraction of an endpoint's capacity.
const FAILURE_PENALTY: f64 = 0.15;
/// Upper bound of the penalty for recent failures; failing endpoints above it are compared by load
/// alone.
const MAX_FAILURE_PENALTY: f64 = 0.9;
/// Excess over the failure rate of the best endpoint from which on it counts; random variation
/// alone reaches about this value.
const MIN_EXCESS_RATE: f64 = 0.1;
/// Score penalty per unit of excess failure rate, where 1 is a full endpoint. An endpoint that
/// fails everything is used only if no other has room.
const EXCESS_RATE_PENALTY: f64 = 4.0;
/// Pending prompt tokens that count as much as a full engine: reading them takes about a third of
/// the acceptable time to the first event.
const FULL_LOAD_PROMPT_TOKENS: f64 = 9_000.0;

/// Score penalty per unit by which an engine's pace exceeds that of the fastest quarter of its
/// service. An engine of 2.4 times that pace is chosen once those are two thirds full.
const PACE_PENALTY: f64 = 0.476;
/// Upper bound of that penalty; slower engines are compared by load alone.
const MAX_PACE_PENALTY: f64 = 0.9;
/// Score penalty of an engine per unit by which work takes longer than usual at this moment. It is
/// small, since a generation outlasts most disturbances.
const DISTURBANCE_PENALTY: f64 = 0.1;
/// Upper bound of the part of a score that depends on the pace at this moment, in either direction.
/// Together with the random parts it keeps many instances from all choosing the endpoint that was
/// fast a moment ago.
const MAX_DISTURBANCE_PENALTY: f64 = 0.5;
/// Expected tokens beyond the prompt from which a generation counts as long. The gap limit does not
/// apply to shorter ones, which have few gaps.
const MIN_LONG_TOKENS: u64 = 64;

/// Returns the memory of an engine that may be committed to requests. Short requests of a service
/// with less urgent ones may use all: they end before these have grown to their final memory.
pub fn committable(memory: u64, is_short: bool) -> u64 {
    if is_short { memory } else { whole(memory as f64 * COMMITTED_MEMORY_SHARE) }
}

/// Returns whether an endpoint has room for a request beside the load already placed there.
///
/// Memory is counted by what responses will use in the end. Otherwise an engine would run out of
/// memory in the middle of responses: it would preempt the newest and read its prompt again, the
/// client would see the stream stall, and the work would be wasted.
pub fn fits(
    candidate: &Candidate,
    placed: &PlacedLoad,
    request: &DispatchRequest,
    now: Moment,
) -> bool {
    fits_within(candidate, placed, request, false, now)
}

/// The same, with all of an engine's memory if `is_short`.
pub fn fits_within(
    candidate: &Candidate,
    placed: &PlacedLoad,
    request: &DispatchRequest,
    is_short: bool,
    now: Moment,
) -> bool {
    if candidate.cold_left == Some(0) || candidate.turn.is_some_and(|t| !t.is_open(now)) {
        return false;
    }
    match candidate.memory {
        Some(memory) => {
            let is_alone = placed.requests == 0 && request.memory <= memory;
            let reads_soon =
                placed.reading == 0 || placed.reading + request.prompt <= MAX_PENDING_PROMPT_TOKENS;
            reads_soon
                && placed.requests < candidate.slots.max(1)
                && (is_alone || placed.memory + request.memory <= committable(memory, is_short))
        }
        None => f64::from(placed.requests) < f64::from(candidate.slots.max(1)) * REQUESTS_PER_SLOT,
    }
}

/// Returns whether the events of the engine's generations are in time with a further request.
///
/// A slow engine with a large batch, a noisy neighbour and a prompt chunk between two steps exceeds
/// the time that clients accept between two events, for all its streams at once.
pub fn fits_gap_limit(placed: &PlacedLoad, request: &DispatchRequest, pace: &PaceView) -> bool {
    let is_long = request.memory.saturating_sub(request.prompt) >= MIN_LONG_TOKENS;
    let requests = f64::from(placed.requests) + 1.0;
    let has_room = !is_long || pace.max_running.is_none_or(|max| requests <= max);
    let reads_alone = request.prompt == 0 || placed.reading == 0;
    has_room && (reads_alone || pace.max_reading.is_none_or(|max| requests <= max))
}

/// Returns the memory that an engine can still commit; none if all its slots are in use.
pub fn free_memory(candidate: &Candidate, placed: &PlacedLoad) -> f64 {
    let memory = candidate.memory.unwrap_or(0) as f64;
    match placed.requests {
        0 => memory,
        n if n >= candidate.slots.max(1) => 0.0,
        _ => (memory * COMMITTED_MEMORY_SHARE - placed.memory as f64).max(0.0),
    }
}

/// Returns the cost score of an endpoint, lower being better; 1 is about a full endpoint.
pub fn score(
    candidate: &Candidate,
    placed: &PlacedLoad,
    recent_failures: f64,
    pace: &PaceView,
) -> f64 {
    let slots = f64::from(placed.requests) / f64::from(candidate.slots.max(1));
    let load = match candidate.memory {
        Some(memory) => {
            let memory = placed.memory as f64 / memory.max(1) as f64;
            let reading = placed.reading as f64 * pace.ratio + placed.moving as f64;
            let penalty = ((pace.ratio - 1.0) * PACE_PENALTY).min(MAX_PACE_PENALTY);
            memory.max(slots) + reading / FULL_LOAD_PROMPT_TOKENS + penalty
        }
        None => slots,
    };
    let load = load + disturbance_penalty(candidate, slots, pace);
    load + (recent_failures * FAILURE_PENALTY).min(MAX_FAILURE_PENALTY)
}

/// Returns the part of a score that depends on the pace at this moment. For a plain endpoint it turns
/// the load with one request more into the time that this takes.
fn disturbance_penalty(candidate: &Candidate, slots: f64, pace: &PaceView) -> f64 {
    let Some(now) = pace.now else { return 0.0 };
    let per_unit = match candidate.memory {
        Some(_) => DISTURBANCE_PENALTY,
        None => slots + 1.0 / f64::from(candidate.slots.max(1)),
    };
    ((now - 1.0) * per_unit).clamp(-MAX_DISTURBANCE_PENALTY, MAX_DISTURBANCE_PENALTY)
}

/// Returns the score penalty for a failure rate that exceeds that of the best endpoint by `excess`.
///
/// Some endpoints report healthy and fail their requests. In a large fleet each instance sends such
/// an endpoint only a few requests a second, and by its own failures alone would detect it after
/// most were lost.
pub fn failure_rate_penalty(excess: f64) -> f64 {
    (excess - MIN_EXCESS_RATE).max(0.0) * EXCESS_RATE_PENALTY
}
