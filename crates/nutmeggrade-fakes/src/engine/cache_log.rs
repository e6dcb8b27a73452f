//! The engine's published cache events: late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::engine::CacheEvent;
use nutmeggrade_core::moment::Moment;

use super::CacheChange;

/// Every so many events one is lost.
const GAP: u64 = 7;
/// Events that are kept; older ones are gone too.
const KEPT: usize = 256;

/// Numbers the changes of the prefix cache and hides those that are too young or lost.
#[derive(Debug, Clone)]
pub struct CacheLog {
    lag: Duration,
    next: u64,
    events: VecDeque<(Moment, CacheEvent)>,
}

impl CacheLog {
    /// Makes an empty log whose events show after `lag`.
    pub const fn new(lag: Duration) -> Self {
        Self { lag, next: 1, events: VecDeque::new() }
    }

    /// Notes a change; its number is used up even if the event is lost.
    pub fn note(&mut self, change: CacheChange, now: Moment) {
        let CacheChange { prefix, kept } = change;
        let event = CacheEvent { number: self.next, prefix, kept };
        self.next += 1;
        if event.number.is_multiple_of(GAP) {
            return;
        }
        self.events.push_back((now, event));
        if self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// Returns the events after a number that are old enough to show.
    pub fn after(&self, number: u64, now: Moment) -> Vec<CacheEvent> {
        let shown = self.events.iter().filter(|(at, _)| now.since(*at) >= self.lag);
        shown.map(|(_, e)| *e).filter(|e| e.number > number).collect()
    }
}
