//! Cache events that the engine publishes, with lag and gaps.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::engine::CacheEvent;
use nutmeggrade_core::moment::Moment;

use super::CacheChange;

/// One event is lost in each run of this many.
const LOSS_INTERVAL: u64 = 7;
/// Number of events that are kept; older ones are dropped.
const MAX_EVENTS: usize = 256;

/// Numbers the changes of the prefix cache and omits those that are younger than the lag or lost.
#[derive(Debug, Clone)]
pub struct CacheLog {
    lag: Duration,
    next_number: u64,
    events: VecDeque<(Moment, CacheEvent)>,
}

impl CacheLog {
    /// Creates an empty log whose events become visible after `lag`.
    pub const fn new(lag: Duration) -> Self {
        Self { lag, next_number: 1, events: VecDeque::new() }
    }

    /// Records a change; a lost event also takes up a number.
    pub fn record(&mut self, change: CacheChange, now: Moment) {
        let CacheChange { prefix, kept } = change;
        let event = CacheEvent { number: self.next_number, prefix, kept };
        self.next_number += 1;
        if event.number.is_multiple_of(LOSS_INTERVAL) {
            return;
        }
        self.events.push_back((now, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events that follow a number.
    pub fn after(&self, number: u64, now: Moment) -> Vec<CacheEvent> {
        let visible = self.events.iter().filter(|(at, _)| now.since(*at) >= self.lag);
        visible.map(|(_, e)| *e).filter(|e| e.number > number).collect()
    }
}
