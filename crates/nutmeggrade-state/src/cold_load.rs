//! Load of one endpoint, from its own reports and from this instance's generations.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Age from which a report no longer proves that an endpoint is warm.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Identifies one generation at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlotId(pub u64);

/// An endpoint's report of its load, with its time on this instance's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadSample {
    /// Earliest moment at which the numbers can have been taken.
    pub taken: Moment,
    /// Number of generations at the endpoint, running or waiting.
    pub held: u32,
    /// Whether it was in cold start.
    pub cold: bool,
    /// Maximum number of generations that it can take while cold.
    pub limit: u32,
}

#[derive(Debug, Default)]
struct SlotTimes {
    started: Option<Moment>,
    released: Option<Moment>,
}

/// Load of one endpoint.
///
/// Its reports lag: they miss a generation that this instance sent after the report was taken and
/// still contain one that has ended since, and generations sent by an earlier owner may run for
/// long. Relying on the report alone or on the local count alone would overload the endpoint. So
/// all reported generations that are not provably this instance's count as others', and a released
/// slot counts until a later report.
#[derive(Debug, Default)]
pub struct ColdLoad {
    sample: Option<LoadSample>,
    slots: BTreeMap<SlotId, SlotTimes>,
}

impl ColdLoad {
    /// Stores a report unless a later one is present.
    pub fn note_load(&mut self, sample: LoadSample) {
        if self.sample.is_some_and(|s| s.taken > sample.taken) {
            return;
        }
        self.sample = Some(sample);
        self.slots.retain(|_, times| times.released.is_none_or(|at| at >= sample.taken));
    }

    /// Drops the last report.
    pub const fn forget_load(&mut self) {
        self.sample = None;
    }

    /// Returns whether the endpoint must be treated as cold.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.sample.is_none_or(|s| s.cold || now.since(s.taken) > MAX_REPORT_AGE)
    }

    /// Returns the number of this instance's generations at the endpoint.
    pub fn own_count(&self) -> u32 {
        count(self.slots.values().filter(|s| s.released.is_none()))
    }

    /// Returns whether no slot of this instance is counted.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns how many more generations the endpoint can take while cold. It is 0 without a report
    /// taken at `since` or later, because only such a report contains the generations of earlier
    /// owners.
    pub fn room(&self, since: Moment) -> u32 {
        let Some(sample) = self.sample.filter(|s| s.taken >= since) else { return 0 };
        sample.limit.saturating_sub(self.max_held(sample))
    }

    /// Returns whether the upper bound of its load is within its limit.
    pub fn fits(&self, since: Moment) -> bool {
        self.sample.is_some_and(|s| s.taken >= since && self.max_held(s) <= s.limit)
    }

    /// Counts a generation.
    pub fn take(&mut self, slot: SlotId) {
        self.slots.insert(slot, SlotTimes::default());
    }

    /// Records that the endpoint certainly has the generation from `now` on.
    pub fn note_started(&mut self, slot: SlotId, now: Moment) {
        if let Some(times) = self.slots.get_mut(&slot) {
            times.started.get_or_insert(now);
        }
    }

    /// Records that the generation ended or was abandoned.
    pub fn leave(&mut self, slot: SlotId, now: Moment) {
        if let Some(times) = self.slots.get_mut(&slot) {
            times.released.get_or_insert(now);
        }
    }

    fn max_held(&self, sample: LoadSample) -> u32 {
        let is_in_report = |s: &&SlotTimes| {
            let was_started = s.started.is_some_and(|at| at < sample.taken);
            was_started && s.released.is_none_or(|at| at > sample.taken)
        };
        let own_reported = count(self.slots.values().filter(is_in_report));
        let others = sample.held.saturating_sub(own_reported);
        others.saturating_add(count(self.slots.values()))
    }
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}
