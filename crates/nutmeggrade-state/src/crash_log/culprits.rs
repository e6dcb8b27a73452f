//! Finds the suspects that explain crashes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::peer::CrashSuspect;
use nutmeggrade_core::prelude::*;

use super::crash_record::{Crash, CrashRecord};

/// Number of crashes that make a culprit. A request that only happened to run at a crashing endpoint
/// is unlikely to be at two others too.
const MIN_CRASHES: usize = 3;
/// The same for a part that was in completed answers lately.
const MIN_CRASHES_OF_KNOWN_PART: usize = 5;
/// Time after its first crash within which such a part is in a completed answer again, if it crashes
/// no endpoint.
const COMPLETION_WAIT: Duration = Duration::from_secs(3);
/// Longest time between two crashes that may have one cause other than a suspect which was completed
/// lately, such as a failure domain that loses power.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(2);
/// The same for parts that never were. Crashes of one cause are noticed together.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(250);

/// Finds the suspects that explain crashes: the one with most crashes first, then the one with most of
/// those that are left. What only ran beside a culprit is no culprit.
///
/// Of two with the same crashes the request goes before its parts, which other requests may have that
/// crash nothing.
pub fn find(
    records: &BTreeMap<CrashSuspect, CrashRecord>,
    was_completed: impl Fn(&CrashSuspect) -> bool,
    now: Moment,
) -> BTreeMap<CrashSuspect, Moment> {
    let mut candidates: Vec<Candidate> = records
        .iter()
        .filter(|(_, record)| record.crashes.len() >= MIN_CRASHES || record.is_on_probation())
        .map(|(suspect, record)| Candidate::new(*suspect, record, was_completed(suspect), now))
        .collect();
    let mut culprits = BTreeMap::new();
    let mut explained = BTreeSet::new();
    loop {
        candidates.retain_mut(|candidate| {
            candidate.crashes.retain(|c| !explained.contains(&c.ending));
            candidate.is_sufficient()
        });
        let Some(culprit) = candidates.iter().max_by_key(|c| c.rank()) else { return culprits };
        explained.extend(culprit.crashes.iter().map(|c| c.ending.clone()));
        culprits.insert(culprit.suspect, culprit.hold_end);
    }
}

struct Candidate<'a> {
    suspect: CrashSuspect,
    /// Crashes that no culprit explains.
    crashes: Vec<&'a Crash>,
    hold_end: Moment,
    on_probation: bool,
    was_completed: bool,
    waited: bool,
}

impl<'a> Candidate<'a> {
    fn new(
        suspect: CrashSuspect,
        record: &'a CrashRecord,
        was_completed: bool,
        now: Moment,
    ) -> Self {
        let waited = |first| now.since(first) >= COMPLETION_WAIT;
        Self {
            suspect,
            crashes: record.crashes.iter().collect(),
            hold_end: record.hold_end().unwrap_or(now),
            on_probation: record.is_on_probation(),
            was_completed,
            waited: record.first_crash().is_some_and(waited),
        }
    }

    fn is_sufficient(&self) -> bool {
        if self.crashes.is_empty() || self.on_probation {
            return self.on_probation && !self.crashes.is_empty();
        }
        match (self.suspect, self.was_completed) {
            (CrashSuspect::Request(_), false) => self.crashes.len() >= MIN_CRASHES,
            (CrashSuspect::Request(_), true) => self.separate(COMMON_CAUSE_WINDOW) >= MIN_CRASHES,
            (CrashSuspect::Part(_), false) => self.separate(SIMULTANEOUS_WINDOW) >= MIN_CRASHES,
            (CrashSuspect::Part(_), true) => {
                self.waited && self.separate(COMMON_CAUSE_WINDOW) >= MIN_CRASHES_OF_KNOWN_PART
            }
        }
    }

    /// Returns the number of crashes, those within a window counted as one unless the answer began only
    /// after the crash before: one cause that ends several endpoints finds the answers running.
    fn separate(&self, window: Duration) -> usize {
        let mut crashes = self.crashes.clone();
        crashes.sort_by_key(|crash| crash.at());
        crashes.dedup_by(|later, earlier| {
            let began_later = !later.alive.is_zero() && later.began_at() >= earlier.at();
            !began_later && later.at().since(earlier.at()) <= window
        });
        crashes.len()
    }

    fn rank(&self) -> (usize, bool, bool, CrashSuspect) {
        let is_request = matches!(self.suspect, CrashSuspect::Request(_));
        (self.crashes.len(), is_request, !self.was_completed, self.suspect)
    }
}
