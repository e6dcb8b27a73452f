//! Memory that an engine holds for other instances.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;

/// Samples of this instance's usage that are kept; at four reports a second they cover eight
/// seconds.
const MAX_SAMPLES: usize = 32;
/// Bounds of the correction by the peers' counts; beyond them, the counts and the report don't
/// match, as after a crash.
const CORRECTION_BOUNDS: (f64, f64) = (0.5, 3.0);

#[derive(Debug, Clone, Copy)]
struct Usage {
    at: Moment,
    held: f64,
    count: f64,
}

/// Subtracts this instance's usage from a lagging load report.
///
/// Reports are older than decisions. Counting this instance's responses both directly and in the
/// report would halve the engine's capacity; taking the report as current would miss everything
/// admitted since. So this instance's usage at the time of the report is subtracted, and the rest
/// is scaled by the change of the peers' counts since then.
#[derive(Debug, Default)]
pub struct PeerUsage {
    history: VecDeque<Usage>,
    held: f64,
    count: f64,
}

impl PeerUsage {
    /// Records a report, with this instance's current usage.
    pub fn record_report(&mut self, report: &LoadReport, held: f64, count: usize, now: Moment) {
        self.history.push_back(Usage { at: now, held, count: count as f64 });
        if self.history.len() > MAX_SAMPLES {
            self.history.pop_front();
        }
        let reported = self.usage_before(report.age, now);
        self.held = (report.memory_used as f64 - reported.held).max(0.0);
        // Requests that wait inside the engine hold no memory yet but will; the peers' counts
        // include them.
        self.count = (f64::from(report.running) - reported.count).max(0.0);
    }

    /// Returns the tokens held for other instances, given the number of requests that they report.
    pub fn held(&self, peers: u32, mean_held: f64) -> f64 {
        let peers = f64::from(peers);
        if self.count < 1.0 {
            return self.held.max(peers * mean_held);
        }
        let (lowest, highest) = CORRECTION_BOUNDS;
        self.held * (peers / self.count).clamp(lowest, highest)
    }

    fn usage_before(&self, age: Duration, now: Moment) -> Usage {
        let mut newest_first = self.history.iter().rev();
        let sample = newest_first.find(|usage| now.since(usage.at) >= age);
        let usage = sample.or_else(|| self.history.front());
        usage.copied().unwrap_or(Usage { at: now, held: 0.0, count: 0.0 })
    }
}
