//! Finds the suspects that explain crashes.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::CrashSuspect;
use nutmeggrade_core::prelude::*;

use super::crash_record::{Crash, CrashRecord, Incarnation};
use super::ending_set::EndingSet;

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
    let mut numbers: BTreeMap<&Incarnation, usize> = BTreeMap::new();
    let mut requests = Vec::new();
    let mut parts = Vec::new();
    for (suspect, record) in records.iter().filter(|(_, record)| is_candidate(record)) {
        let candidate = Candidate::new(*suspect, record, was_completed(suspect), &mut numbers, now);
        match suspect {
            CrashSuspect::Request(_) => requests.extend(candidate),
            CrashSuspect::Part(_) => parts.extend(candidate),
        }
    }
    let mut culprits: Vec<Candidate> = Vec::new();
    while let Some(culprit) = take_best(&mut requests, &culprits) {
        culprits.push(culprit);
    }
    while let Some(culprit) = take_best(&mut parts, &culprits) {
        culprits.retain(|other| !culprit.endings.contains_all(&other.endings));
        culprits.push(culprit);
    }
    culprits.iter().map(|culprit| (culprit.suspect, culprit.hold_end)).collect()
}

/// Returns whether a suspect may be a culprit.
pub const fn is_candidate(record: &CrashRecord) -> bool {
    record.crashes.len() >= MIN_CRASHES || record.is_on_probation()
}

/// Takes the candidate that explains most crashes beside the culprits that are known, and drops those
/// that explain too few. What is explained only grows, so that they stay without any use.
fn take_best<'a>(
    candidates: &mut Vec<Candidate<'a>>,
    culprits: &[Candidate<'a>],
) -> Option<Candidate<'a>> {
    let mut explained = EndingSet::default();
    for culprit in culprits {
        explained.extend(&culprit.endings);
    }
    let mut best = None;
    candidates.retain(|candidate| {
        let rank = candidate.rank(culprits, &explained);
        best = best.max(rank);
        rank.is_some()
    });
    let (_, _, suspect) = best?;
    let n = candidates.iter().position(|candidate| candidate.suspect == suspect)?;
    Some(candidates.swap_remove(n))
}

/// A suspect that may be a culprit.
struct Candidate<'a> {
    suspect: CrashSuspect,
    was_completed: bool,
    /// Crashes and the numbers of their endpoints, the earliest first.
    crashes: Vec<(usize, &'a Crash)>,
    endings: EndingSet,
    /// Number of crashes that make it a culprit.
    required: usize,
    /// Longest time between two crashes that count as one.
    window: Duration,
    hold_end: Moment,
}

impl<'a> Candidate<'a> {
    /// Creates a candidate, and numbers its endpoints; `None` if it may still turn out to be innocent.
    fn new(
        suspect: CrashSuspect,
        record: &'a CrashRecord,
        was_completed: bool,
        numbers: &mut BTreeMap<&'a Incarnation, usize>,
        now: Moment,
    ) -> Option<Self> {
        let mut times: Vec<Moment> = record.crashes.iter().map(Crash::at).collect();
        times.sort_unstable();
        let has_waited = |n: usize, wait| times.get(n).is_some_and(|at| now.since(*at) >= wait);
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
        let mut endings = EndingSet::default();
        let mut crashes: Vec<(usize, &Crash)> = Vec::with_capacity(record.crashes.len());
        for crash in &record.crashes {
            let next = numbers.len();
            let number = *numbers.entry(&crash.ending).or_insert(next);
            endings.insert(number);
            crashes.push((number, crash));
        }
        crashes.sort_by_key(|(_, crash)| crash.at());
        Some(Self { suspect, was_completed, crashes, endings, required, window, hold_end })
    }

    /// Returns how the candidate ranks beside the culprits that are known, which explain the endings in
    /// `explained`, or `None` if it is no further culprit.
    fn rank(
        &self,
        culprits: &[Self],
        explained: &EndingSet,
    ) -> Option<(usize, bool, CrashSuspect)> {
        let is_part = matches!(self.suspect, CrashSuspect::Part(_));
        let mut taken = EndingSet::default();
        let mut replaces_one = false;
        for culprit in culprits {
            // Crashes under requests that it explains completely count for a part, too.
            if is_part && self.endings.contains_all(&culprit.endings) {
                replaces_one = true;
            } else {
                taken.extend(&culprit.endings);
            }
        }
        let mut free = self.crashes.clone();
        free.retain(|(number, _)| !taken.contains(*number));
        let has_unexplained = free.iter().any(|(number, _)| !explained.contains(*number));
        if replaces_one && (free.len() <= MIN_CRASHES || !has_unexplained) {
            return None;
        }
        let count = free.len();
        let is_sufficient = count >= self.required
            && (self.window.is_zero() || self.separate_crashes(free) >= self.required);
        is_sufficient.then_some((count, !self.was_completed, self.suspect))
    }

    /// Returns the number of crashes, those within the window counted as one unless the answer began
    /// only after the crash before: one cause that ends several endpoints finds the answers running.
    fn separate_crashes(&self, mut crashes: Vec<(usize, &Crash)>) -> usize {
        crashes.dedup_by(|(_, later), (_, earlier)| {
            let began_later = !later.alive.is_zero() && later.began_at() >= earlier.at();
            !began_later && later.at().since(earlier.at()) <= self.window
        });
        crashes.len()
    }
}
