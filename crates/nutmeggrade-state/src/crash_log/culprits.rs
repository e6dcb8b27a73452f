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
/// Time after the second crash under a part within which peers say that it was in completed answers.
const REBUTTAL_WAIT: Duration = Duration::from_millis(250);
/// Longest time between two crashes that may have one cause other than a suspect which was completed
/// lately, such as a failure domain that loses power.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(2);
/// The same for parts that never were. Crashes of one cause are noticed together.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(250);

/// Finds the suspects that explain crashes: the one with most crashes first, then the one with most of
/// those that are left. What only ran beside a culprit is no culprit. Returns until when each is held.
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
        .filter_map(|(suspect, r)| Candidate::new(*suspect, r, was_completed(suspect), now))
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

/// A suspect that may be a culprit.
struct Candidate<'a> {
    suspect: CrashSuspect,
    was_completed: bool,
    /// Crashes that no culprit explains.
    crashes: Vec<&'a Crash>,
    /// Number of crashes that make it a culprit.
    required: usize,
    /// Longest time between two crashes that count as one.
    window: Duration,
    hold_end: Moment,
}

impl<'a> Candidate<'a> {
    /// Creates a candidate; `None` if it may still turn out to be innocent.
    fn new(
        suspect: CrashSuspect,
        record: &'a CrashRecord,
        was_completed: bool,
        now: Moment,
    ) -> Option<Self> {
        let mut crashes: Vec<&Crash> = record.crashes.iter().collect();
        crashes.sort_by_key(|crash| crash.at());
        let has_waited = |n: usize, wait| crashes.get(n).is_some_and(|c| now.since(c.at()) >= wait);
        let (required, window) = match (suspect, was_completed) {
            _ if record.is_on_probation() => (1, Duration::ZERO),
            (CrashSuspect::Request(_), false) => (MIN_CRASHES, Duration::ZERO),
            (CrashSuspect::Request(_), true) => (MIN_CRASHES, COMMON_CAUSE_WINDOW),
            (CrashSuspect::Part(_), false) if has_waited(1, REBUTTAL_WAIT) => {
                (MIN_CRASHES, SIMULTANEOUS_WINDOW)
            }
            (CrashSuspect::Part(_), true) if has_waited(0, COMPLETION_WAIT) => {
                (MIN_CRASHES_OF_KNOWN_PART, COMMON_CAUSE_WINDOW)
            }
            (CrashSuspect::Part(_), _) => return None,
        };
        let hold_end = record.hold_end()?;
        Some(Self { suspect, was_completed, crashes, required, window, hold_end })
    }

    fn is_sufficient(&self) -> bool {
        self.crashes.len() >= self.required
            && (self.window.is_zero() || self.separate_crashes() >= self.required)
    }

    /// Returns the number of crashes, those within the window counted as one unless the answer began
    /// only after the crash before: one cause that ends several endpoints finds the answers running.
    fn separate_crashes(&self) -> usize {
        let mut crashes = self.crashes.clone();
        crashes.dedup_by(|later, earlier| {
            let began_later = !later.alive.is_zero() && later.began_at() >= earlier.at();
            !began_later && later.at().since(earlier.at()) <= self.window
        });
        crashes.len()
    }

    fn rank(&self) -> (usize, bool, bool, CrashSuspect) {
        let is_request = matches!(self.suspect, CrashSuspect::Request(_));
        (self.crashes.len(), is_request, !self.was_completed, self.suspect)
    }
}
