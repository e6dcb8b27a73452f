//! What one endpoint holds, from its own reports and from this instance's own generations.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Age from which a report no longer shows that an endpoint is warm.
const STALE: Duration = Duration::from_secs(5);

/// One generation's place on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slot(pub u64);

/// What an endpoint said of itself, as of a moment on this instance's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSample {
    /// Earliest moment at which the numbers can have been taken.
    pub taken: Moment,
    /// Generations that it held, running or waiting.
    pub held: u32,
    /// Whether it was in cold start.
    pub cold: bool,
    /// Most generations that it bears while cold.
    pub limit: u32,
}

#[derive(Debug, Default)]
struct Hold {
    started: Option<Moment>,
    left: Option<Moment>,
}

/// What one endpoint holds.
///
/// Its reports lag. A generation that this instance gave it after the report was taken is not in the
/// report, one that ended since still is, and what an earlier owner gave it may run on for long.
/// Counted from one side alone the endpoint would get too much; so everything that the report can't
/// prove to be this instance's own counts as somebody else's, and a place that was given back counts
/// until a later report.
#[derive(Debug, Default)]
pub struct ColdLoad {
    sample: Option<LoadSample>,
    holds: BTreeMap<Slot, Hold>,
}

impl ColdLoad {
    /// Takes a report unless a later one is known.
    pub fn note_load(&mut self, sample: LoadSample) {
        if self.sample.is_some_and(|s| s.taken > sample.taken) {
            return;
        }
        self.sample = Some(sample);
        self.holds.retain(|_, hold| hold.left.is_none_or(|at| at >= sample.taken));
    }

    /// Forgets the last report.
    pub const fn forget_load(&mut self) {
        self.sample = None;
    }

    /// Says whether the endpoint must be taken for cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.sample.is_none_or(|s| s.cold || now.since(s.taken) > STALE)
    }

    /// Returns how many generations of this instance it holds.
    pub fn own(&self) -> u32 {
        count(self.holds.values().filter(|s| s.left.is_none()))
    }

    /// Says whether it holds nothing of this instance.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    /// Returns how many more it bears while cold; none before a report taken after `since`, because
    /// only that shows what earlier owners left on it.
    pub fn room(&self, since: Moment) -> u32 {
        let Some(sample) = self.sample.filter(|s| s.taken >= since) else { return 0 };
        sample.limit.saturating_sub(self.taken_by(sample))
    }

    /// Says whether what it holds at most is within its limit.
    pub fn fits(&self, since: Moment) -> bool {
        self.sample.is_some_and(|s| s.taken >= since && self.taken_by(s) <= s.limit)
    }

    /// Counts a generation.
    pub fn take(&mut self, slot: Slot) {
        self.holds.insert(slot, Hold::default());
    }

    /// Notes that the endpoint surely holds the generation from `now` on.
    pub fn note_started(&mut self, slot: Slot, now: Moment) {
        if let Some(hold) = self.holds.get_mut(&slot) {
            hold.started.get_or_insert(now);
        }
    }

    /// Notes that the generation was ended or given up.
    pub fn leave(&mut self, slot: Slot, now: Moment) {
        if let Some(hold) = self.holds.get_mut(&slot) {
            hold.left.get_or_insert(now);
        }
    }

    fn taken_by(&self, sample: LoadSample) -> u32 {
        let surely = |s: &&Hold| {
            let inside = s.started.is_some_and(|at| at < sample.taken);
            inside && s.left.is_none_or(|at| at > sample.taken)
        };
        let in_report = count(self.holds.values().filter(surely));
        let others = sample.held.saturating_sub(in_report);
        others.saturating_add(count(self.holds.values()))
    }
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}
