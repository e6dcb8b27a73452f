//! Finds the suspects that explain crashes.

use std::collections::BTreeMap;
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

/// Finds the suspects that explain crashes, and until when each is held: first requests as a whole, the
/// one with most crashes first; then parts of prompts, the one with most of those that are left. What
/// only ran beside a culprit is no culprit.
///
/// A part also takes the place of the requests that it explains completely, if it explains a crash that
/// no request does.
pub fn find(
    records: &BTreeMap<CrashSuspect, CrashRecord>,
    was_completed: impl Fn(&CrashSuspect) -> bool,
    now: Moment,
) -> BTreeMap<CrashSuspect, Moment> {
    let (mut requests, mut parts): (Vec<Candidate>, Vec<Candidate>) = records
        .iter()
        .filter(|(_, record)| record.crashes.len() >= MIN_CRASHES || record.is_on_probation())
        .filter_map(|(suspect, r)| Candidate::new(*suspect, r, was_completed(suspect), now))
        .partition(|candidate| matches!(candidate.suspect, CrashSuspect::Request(_)));
    let mut culprits: Vec<Candidate> = Vec::new();
    while let Some(culprit) = take_best(&mut requests, &culprits) {
        culprits.push(culprit);
    }
    while let Some(culprit) = take_best(&mut parts, &culprits) {
        culprits.retain(|other| !culprit.explains_all(other));
        culprits.push(culprit);
    }
    culprits.iter().map(|culprit| (culprit.suspect, culprit.hold_end)).collect()
}

/// Takes the candidate that explains most crashes beside the culprits that are known.
fn take_best<'a>(
    candidates: &mut Vec<Candidate<'a>>,
    culprits: &[Candidate<'a>],
) -> Option<Candidate<'a>> {
    let best = candidates
        .iter()
        .enumerate()
        .filter_map(|(n, candidate)| Some((candidate.rank(culprits)?, n)))
        .max_by_key(|(rank, _)| *rank);
    best.map(|(_, n)| candidates.swap_remove(n))
}

/// A suspect that may be a culprit.
struct Candidate<'a> {
    suspect: CrashSuspect,
    was_completed: bool,
    /// Crashes, the earliest first.
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

    fn has_ending(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|c| c.ending == crash.ending)
    }

    fn explains_all(&self, other: &Self) -> bool {
        other.crashes.iter().all(|crash| self.has_ending(crash))
    }

    /// Returns how the candidate ranks beside the culprits that are known, or `None` if it is no further
    /// culprit.
    fn rank(&self, culprits: &[Self]) -> Option<(usize, bool, CrashSuspect)> {
        // Crashes under requests that it explains completely count for a part, too.
        let narrower = |culprit: &Self| {
            matches!(self.suspect, CrashSuspect::Part(_)) && self.explains_all(culprit)
        };
        let is_taken = |crash: &Crash| {
            culprits.iter().any(|culprit| !narrower(culprit) && culprit.has_ending(crash))
        };
        let free: Vec<&Crash> = self.crashes.iter().copied().filter(|c| !is_taken(c)).collect();
        let replaces_one = culprits.iter().any(narrower);
        let is_unexplained = |c: &&Crash| culprits.iter().all(|culprit| !culprit.has_ending(c));
        if replaces_one && (free.len() <= MIN_CRASHES || !free.iter().any(is_unexplained)) {
            return None;
        }
        let is_sufficient = free.len() >= self.required
            && (self.window.is_zero() || self.separate_crashes(&free) >= self.required);
        is_sufficient.then_some((free.len(), !self.was_completed, self.suspect))
    }

    /// Returns the number of crashes, those within the window counted as one unless the answer began
    /// only after the crash before: one cause that ends several endpoints finds the answers running.
    fn separate_crashes(&self, crashes: &[&Crash]) -> usize {
        let mut crashes = crashes.to_vec();
        crashes.dedup_by(|later, earlier| {
            let began_later = !later.alive.is_zero() && later.began_at() >= earlier.at();
            !began_later && later.at().since(earlier.at()) <= self.window
        });
        crashes.len()
    }
}
