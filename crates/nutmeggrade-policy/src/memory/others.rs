//! What an engine holds that is not of this instance.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;

/// Own holdings that are remembered; at four reports a second they reach back eight seconds.
const HISTORY: usize = 32;
/// Bounds of the correction by peers' counts; beyond, the counts and the report don't belong
/// together, as after a crash.
const CORRECTION: (f64, f64) = (0.5, 3.0);

#[derive(Debug, Clone, Copy)]
struct Own {
    at: Moment,
    held: f64,
    count: f64,
}

/// Takes own answers out of a lagging report.
///
/// Answers reports that are older than the decisions. Own answers counted both first-hand and in
/// the report would halve the engine; a report taken as the present would miss everything let in
/// since. So the own holdings of the report's time are taken from it, and the rest is scaled by how
/// the peers' counts changed since.
#[derive(Debug, Default)]
pub struct Others {
    history: VecDeque<Own>,
    held: f64,
    count: f64,
}

impl Others {
    /// Takes a report, with the own holdings now.
    pub fn report(&mut self, report: &LoadReport, held: f64, count: usize, now: Moment) {
        self.history.push_back(Own { at: now, held, count: count as f64 });
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
        let then = self.then(report.age, now);
        self.held = (report.memory_used as f64 - then.held).max(0.0);
        // What waits inside the engine holds nothing yet, but will; peers' counts include it.
        self.count = (f64::from(report.running) - then.count).max(0.0);
    }

    /// Returns the tokens that others hold, given how many of theirs peers count.
    pub fn held(&self, peers: u32, usual: f64) -> f64 {
        let peers = f64::from(peers);
        if self.count < 1.0 {
            return self.held.max(peers * usual);
        }
        let (lowest, highest) = CORRECTION;
        self.held * (peers / self.count).clamp(lowest, highest)
    }

    fn then(&self, age: Duration, now: Moment) -> Own {
        let mut newest_first = self.history.iter().rev();
        let found = newest_first.find(|o| now.since(o.at) >= age);
        let oldest = found.or_else(|| self.history.front());
        oldest.copied().unwrap_or(Own { at: now, held: 0.0, count: 0.0 })
    }
}
