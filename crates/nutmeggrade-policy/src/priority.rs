//! Preemption priority of responses on an engine.

use std::time::Duration;

/// Factor of the expected duration; a response with less time left than that is likely to be late.
const MIN_SLACK_FACTOR: f64 = 2.0;
/// Share of the engine's memory above which a response is too costly to recompute.
const COSTLY_MEMORY_SHARE: f64 = 0.25;

/// Preemption priority of a response, which lets the engine preempt what loses least.
///
/// Memory may fill up despite admission control. Without a priority the engine would preempt the
/// youngest response, also a short one that needs only another second, or one that would miss its
/// deadline. The engine preempts the lowest priority and within it the youngest response, which is
/// the cheapest to recompute.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Long, with time to spare.
    Spare,
    /// Long, and late or costly if preempted.
    Costly,
    /// Short: its memory is small and soon free again.
    Short,
}

impl Priority {
    /// Selects the priority by the kind of task, the time left, the expected duration and the
    /// expected share of memory.
    pub fn new(is_long: bool, time_left: Duration, expected: Duration, memory_share: f64) -> Self {
        if !is_long {
            return Self::Short;
        }
        let is_urgent = time_left < expected.mul_f64(MIN_SLACK_FACTOR);
        if is_urgent || memory_share > COSTLY_MEMORY_SHARE { Self::Costly } else { Self::Spare }
    }

    /// Returns the number sent to the engine; higher is preempted later.
    pub const fn number(self) -> i32 {
        self as i32
    }
}
