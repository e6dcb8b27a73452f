//! Memory of the requests refused lately.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Number of seconds that are counted, the current one included.
const SECONDS: u64 = 3;
/// Number of priorities that are told apart; lower ones count as the last.
const PRIORITIES: usize = 10;
/// Number of classes of the time left. Each covers twice the time of the one before, from 1 s on.
const TIME_CLASSES: usize = 8;

type Counts = [[u64; TIME_CLASSES]; PRIORITIES];

/// Memory of the requests refused in the current second and the last two, by priority and time left.
#[derive(Debug, Clone, Default)]
pub struct RefusedCounts {
    seconds: VecDeque<(u64, Counts)>,
}

impl RefusedCounts {
    /// Creates empty counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a refused request.
    pub fn count(&mut self, memory: u64, priority: u8, time_left: Duration, now: Moment) {
        let second = now.since_start().as_secs();
        self.seconds.retain(|(counted, _)| second.saturating_sub(*counted) < SECONDS);
        if self.seconds.back().is_none_or(|(counted, _)| *counted != second) {
            self.seconds.push_back((second, Counts::default()));
        }
        let Some((_, counts)) = self.seconds.back_mut() else { return };
        let (priority, class) = cell(priority, time_left);
        let count = &mut counts[priority][class];
        *count = count.saturating_add(memory);
    }

    /// Returns the memory of those that are more urgent or have less time left, and of those that are
    /// equal.
    pub fn before(&self, priority: u8, time_left: Duration, now: Moment) -> (u64, u64) {
        let cell = cell(priority, time_left);
        let second = now.since_start().as_secs();
        let recent = self.seconds.iter().filter(|(s, _)| second.saturating_sub(*s) < SECONDS);
        let (mut before, mut equal) = (0_u64, 0_u64);
        for (_, counts) in recent {
            for (priority, classes) in counts.iter().enumerate().take(cell.0 + 1) {
                let classes = classes.iter().enumerate();
                for (class, memory) in classes.take_while(|(c, _)| (priority, *c) <= cell) {
                    let sum = if (priority, class) == cell { &mut equal } else { &mut before };
                    *sum = sum.saturating_add(*memory);
                }
            }
        }
        (before, equal)
    }
}

fn cell(priority: u8, time_left: Duration) -> (usize, usize) {
    let seconds = time_left.as_secs();
    let class = (u64::BITS - seconds.leading_zeros()) as usize;
    (usize::from(priority).min(PRIORITIES - 1), class.min(TIME_CLASSES - 1))
}
