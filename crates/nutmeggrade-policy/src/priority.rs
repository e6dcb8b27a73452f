//! What an engine should preempt first.

use std::time::Duration;

/// Time to spare, as a multiple of the expected time to the end, under which an answer is late soon.
const TIGHT: f64 = 2.0;
/// Share of the engine's memory from which an answer costs too much to compute again.
const LARGE: f64 = 0.25;

/// Ranks answers so that the engine preempts what loses least.
///
/// Answers memory that fills up all the same. Without a rank the youngest goes, be it a short answer
/// of which one more second is all that it needs, or one that misses its deadline if it waits. The
/// engine takes the lowest rank and in it the youngest, which has least to compute again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Long, with time to spare.
    Spare,
    /// Long, and late or costly if preempted.
    Costly,
    /// Short: its memory is small and free again soon.
    Short,
}

impl Priority {
    /// Ranks an answer by its task, time left, expected time to its end and expected memory share.
    pub fn new(long: bool, left: Duration, service: Duration, share: f64) -> Self {
        if !long {
            return Self::Short;
        }
        let tight = left < service.mul_f64(TIGHT);
        if tight || share > LARGE { Self::Costly } else { Self::Spare }
    }

    /// Returns the engine's number; higher is preempted later.
    pub const fn number(self) -> i32 {
        self as i32
    }
}
