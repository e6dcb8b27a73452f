//! Log of what repeatedly crashes endpoints.

mod crash_record;
mod culprits;
mod ending_set;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use nutmeggrade_core::peer::{
    CrashSuspect, EndpointCrash, PartCrash, Refutation, RequestSuspects, SharedCrash,
};
use nutmeggrade_core::prelude::*;

use self::crash_record::{Crash, CrashRecord, HOLD_PERIOD};
use crate::recent_map::RecentMap;
use crate::rotation::next_in_rotation;
use crate::running_answers::RunningAnswers;

/// Number of crashes from which on they are repeated to the peers, and peers that know better say so.
/// Of most of what was at a crashing endpoint nothing more is heard.
const MIN_SHARED_CRASHES: usize = 2;
/// Maximum number of suspects; each crash is recorded for all that was at the endpoint.
const MAX_RECORDS: usize = 2_048;
/// Maximum number of losses that may turn out to be crashes.
const MAX_LOSSES: usize = 512;
/// Time within which it has to turn out whether an endpoint that lost a request has crashed: the
/// entry of an endpoint outlives it by some seconds, and by an outage of the store.
const LOSS_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of cleared suspects in each half of their map.
const MAX_CLEARED_HALF: usize = 1_536;
/// Longest time for which culprits that depend on the time are not determined anew.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// What is known for a suspect.
#[derive(Debug, Clone, Copy, Default)]
struct Clearance {
    /// When it last was in an answer that was completed or went on, at any instance.
    at: Moment,
    /// Whether it was in a completed answer.
    completed: bool,
    /// When an answer with it was last completed here.
    here: Option<Moment>,
}

/// Log of what repeatedly crashes endpoints.
///
/// Occasionally a request crashes each endpoint that starts to run it, and its client resends it, at
/// any instance; or a part of a prompt does, in requests that have nothing else in common. Without a
/// shared log they take down the service's endpoints one after the other; the symptom is restarts that
/// move through all endpoints. Instances announce to each other what was at an endpoint when it
/// crashed: requests as a whole, and each part of their prompts but the last. The suspects that explain
/// the crashes are held, see `culprits::find`.
///
/// An endpoint that lost a request may have crashed or not; the loss counts once the endpoint's
/// incarnation has ended. A suspect that is in a completed answer, or in one that goes on long after
/// its crashes came, is cleared, also at the peers.
#[derive(Debug)]
pub struct CrashLog {
    records: BTreeMap<CrashSuspect, CrashRecord>,
    /// Losses of which it isn't known whether their endpoint crashed, and their times.
    losses: VecDeque<(EndpointCrash, Moment)>,
    cleared: RecentMap<CrashSuspect, Clearance>,
    /// Suspects of which a peer repeats crashes from before they were cleared.
    rebuttals: BTreeSet<CrashSuspect>,
    /// Suspects that are held, and until when.
    culprits: BTreeMap<CrashSuspect, Moment>,
    reviewed_at: Option<Moment>,
    request_position: usize,
    part_position: usize,
}

impl Default for CrashLog {
    fn default() -> Self {
        Self::new()
    }
}

impl CrashLog {
    /// Creates an empty log.
    pub const fn new() -> Self {
        Self {
            records: BTreeMap::new(),
            losses: VecDeque::new(),
            cleared: RecentMap::new(HOLD_PERIOD, MAX_CLEARED_HALF),
            rebuttals: BTreeSet::new(),
            culprits: BTreeMap::new(),
            reviewed_at: None,
            request_position: 0,
            part_position: 0,
        }
    }

    /// Records that an endpoint crashed under a request; returns the number of endpoints that have
    /// crashed under it if this one is new.
    pub fn note(&mut self, crash: &EndpointCrash, now: Moment) -> Option<usize> {
        self.note_at(crash, now, now)
    }

    /// Records a crash under a request that a peer repeats, unless the request was completed since.
    pub fn note_shared(&mut self, shared: &SharedCrash, now: Moment) -> Option<usize> {
        let crash = &shared.crash;
        let ending = (crash.endpoint.clone(), crash.born);
        let until = counts_until(shared.time_left, now)?;
        let suspect = CrashSuspect::Request(crash.request);
        self.add(suspect, Crash { ending, until, alive: crash.alive }, now)
    }

    /// Records a crash under a part that a peer repeats, unless the part was completed since.
    pub fn note_shared_part(&mut self, shared: &PartCrash, now: Moment) -> Option<usize> {
        let ending = (shared.endpoint.clone(), shared.born);
        let until = counts_until(shared.time_left, now)?;
        let crash = Crash { ending, until, alive: shared.alive };
        self.add(CrashSuspect::Part(shared.part), crash, now)
    }

    /// Returns some of the crashes under requests that may soon be held or are, others at each call,
    /// so that instances learn of them that have just started or missed a message.
    pub fn shared(&mut self, max: usize, now: Moment) -> Vec<SharedCrash> {
        let mut position = self.request_position;
        let shared = self.repeated(max, &mut position, now, |suspect, crash, time_left| {
            let CrashSuspect::Request(request) = *suspect else { return None };
            let (endpoint, born) = crash.ending.clone();
            let (parts, alive) = (Vec::new(), crash.alive);
            let crash = EndpointCrash { request, endpoint, born, parts, alive };
            Some(SharedCrash { crash, time_left })
        });
        self.request_position = position;
        shared
    }

    /// The same as [`Self::shared`] for crashes under parts.
    pub fn shared_parts(&mut self, max: usize, now: Moment) -> Vec<PartCrash> {
        let mut position = self.part_position;
        let shared = self.repeated(max, &mut position, now, |suspect, crash, time_left| {
            let CrashSuspect::Part(part) = *suspect else { return None };
            let ((endpoint, born), alive) = (crash.ending.clone(), crash.alive);
            Some(PartCrash { part, endpoint, born, alive, time_left })
        });
        self.part_position = position;
        shared
    }

    /// Returns some crashes to repeat in the form that `to_shared` gives them: those of culprits if
    /// there are any, since an instance that lacks them loses endpoints.
    fn repeated<T: Clone>(
        &mut self,
        max: usize,
        position: &mut usize,
        now: Moment,
        to_shared: impl Fn(&CrashSuspect, &Crash, Duration) -> Option<T>,
    ) -> Vec<T> {
        self.review(now);
        let all = |only_culprits: bool| -> Vec<T> {
            let records = self.records.iter().filter(|(suspect, record)| {
                record.crashes.len() >= MIN_SHARED_CRASHES
                    && (!only_culprits || self.culprits.contains_key(suspect))
            });
            let crashes = records.flat_map(|(s, r)| r.crashes.iter().map(move |c| (s, c)));
            let time_left = |crash: &Crash| crash.until.since(now);
            let counting = crashes.filter(|(_, crash)| !time_left(crash).is_zero());
            counting.filter_map(|(s, crash)| to_shared(s, crash, time_left(crash))).collect()
        };
        let mut shared = all(true);
        if shared.is_empty() {
            shared = all(false);
        }
        next_in_rotation(&shared, max, position)
    }

    /// Records that an endpoint lost a request, and that it isn't known whether it crashed.
    pub fn note_loss(&mut self, loss: &EndpointCrash, now: Moment) {
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back((loss.clone(), now));
    }

    /// Counts the losses at endpoints whose incarnation has ended as crashes; returns those that are
    /// new, each with the number of endpoints that have crashed under its request.
    pub fn settle(
        &mut self,
        has_ended: impl Fn(&EndpointId, u64) -> bool,
        now: Moment,
    ) -> Vec<(EndpointCrash, usize)> {
        self.losses.retain(|(_, lost_at)| now.since(*lost_at) <= LOSS_RETENTION);
        let (ended, open): (Vec<_>, _) =
            self.losses.drain(..).partition(|(loss, _)| has_ended(&loss.endpoint, loss.born));
        self.losses = open.into();
        let settle = |(loss, lost_at): (EndpointCrash, Moment)| {
            let count = self.note_at(&loss, lost_at, now)?;
            Some((loss, count))
        };
        ended.into_iter().filter_map(settle).collect()
    }

    /// Records that an answer to a request was completed here, which clears all that the request has.
    pub fn note_completed(&mut self, suspects: &RequestSuspects, now: Moment) {
        for suspect in suspects.iter() {
            self.clear(suspect, now, true, Some(now), now);
        }
    }

    /// Records that a peer knows a suspect not to crash endpoints.
    pub fn note_refuted(&mut self, refutation: &Refutation, now: Moment) {
        let at = Moment::new(now.since_start().saturating_sub(refutation.age));
        self.rebuttals.remove(&refutation.suspect);
        self.clear(refutation.suspect, at, refutation.completed, None, now);
    }

    fn clear(
        &mut self,
        suspect: CrashSuspect,
        at: Moment,
        completed: bool,
        here: Option<Moment>,
        now: Moment,
    ) {
        let last = self.cleared.get(&suspect).copied().unwrap_or_default();
        let clearance = Clearance {
            at: last.at.max(at),
            completed: last.completed || completed,
            here: here.or(last.here),
        };
        self.cleared.insert(suspect, clearance, now);
        if let Some(record) = self.records.get_mut(&suspect) {
            record.refute(at);
            self.reviewed_at = None;
        }
    }

    /// Returns whether there are suspects that this instance may be able to refute.
    pub fn has_suspects(&self) -> bool {
        !self.rebuttals.is_empty()
            || self.records.values().any(|record| record.crashes.len() >= MIN_SHARED_CRASHES)
    }

    /// Clears the suspects that this instance knows not to crash endpoints, and returns what to tell
    /// the peers. `running` holds the answers that endpoints are sending.
    pub fn take_refutations(&mut self, running: &RunningAnswers, now: Moment) -> Vec<Refutation> {
        let mut known: BTreeMap<CrashSuspect, (Moment, bool)> = BTreeMap::new();
        let is_open = |record: &CrashRecord| record.crashes.len() >= MIN_SHARED_CRASHES;
        for answer in running.iter() {
            let survives = |suspect: &CrashSuspect| {
                let record = self.records.get(suspect).filter(|record| is_open(record));
                record.is_some_and(|record| answer.lived() >= record.survival_time())
            };
            for suspect in answer.suspects.iter().filter(survives) {
                let last = known.entry(suspect).or_insert((answer.last_sign, false));
                last.0 = last.0.max(answer.last_sign);
            }
        }
        for (suspect, record) in self.records.iter().filter(|(_, record)| is_open(record)) {
            let Some(clearance) = self.cleared.get(suspect) else { continue };
            let Some(here) = clearance.here else { continue };
            // Peers also have to know of a completion before the crashes: what was completed lately is
            // not suspected as soon.
            let is_news = record.first_crash().is_some_and(|first| here >= first)
                || clearance.at <= here && !record.is_announced;
            if is_news {
                let last = known.entry(*suspect).or_insert((here, true));
                *last = (last.0.max(here), true);
            }
        }
        for (suspect, (at, completed)) in &known {
            if let Some(record) = self.records.get_mut(suspect) {
                record.is_announced = true;
            }
            self.clear(*suspect, *at, *completed, None, now);
        }
        for suspect in std::mem::take(&mut self.rebuttals) {
            if let Some(clearance) = self.cleared.get(&suspect) {
                known.entry(suspect).or_insert((clearance.at, clearance.completed));
            }
        }
        let refutation = |(suspect, (at, completed))| {
            let age = now.since(at);
            Refutation { suspect, completed, age }
        };
        known.into_iter().map(refutation).collect()
    }

    /// Returns what a request is held for, if it is.
    pub fn holds(&mut self, suspects: &RequestSuspects, now: Moment) -> Option<CrashSuspect> {
        if self.records.is_empty() {
            return None;
        }
        self.review(now);
        suspects.iter().find(|s| self.culprits.get(s).is_some_and(|end| *end > now))
    }

    /// Returns the suspects that are held, with the number of their crashes.
    pub fn culprits(&mut self, now: Moment) -> BTreeMap<CrashSuspect, usize> {
        self.review(now);
        let crashes = |suspect| self.records.get(suspect).map_or(0, |r| r.crashes.len());
        self.culprits.keys().map(|suspect| (*suspect, crashes(suspect))).collect()
    }

    fn note_at(&mut self, crash: &EndpointCrash, at: Moment, now: Moment) -> Option<usize> {
        let (request, endpoint, born) = (crash.request, &crash.endpoint, crash.born);
        self.losses.retain(|(loss, _)| {
            loss.request != request || loss.endpoint != *endpoint || loss.born != born
        });
        let mut counted = None;
        for suspect in crash.suspects() {
            let ending = (endpoint.clone(), born);
            let count = self.add(suspect, Crash::new(ending, at, crash.alive), now);
            if matches!(suspect, CrashSuspect::Request(_)) {
                counted = count;
            }
        }
        counted
    }

    /// Adds a crash, unless the suspect has been completed since; returns the number of the suspect's
    /// crashes if it is new.
    fn add(&mut self, suspect: CrashSuspect, crash: Crash, now: Moment) -> Option<usize> {
        if self.cleared.get(&suspect).is_some_and(|clearance| clearance.at >= crash.at()) {
            self.rebuttals.insert(suspect);
            return None;
        }
        let record = self.records.entry(suspect).or_default();
        let count = record.add(crash);
        if count.is_some() && culprits::is_candidate(record) {
            self.reviewed_at = None;
        }
        self.limit_records(now);
        count
    }

    /// Drops the suspects with the fewest crashes if there are too many.
    fn limit_records(&mut self, now: Moment) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        self.remove_expired(now);
        let mut weights: Vec<_> =
            self.records.iter().map(|(suspect, record)| (record.weight(), *suspect)).collect();
        weights.sort_unstable();
        let excess = weights.len().saturating_sub(MAX_RECORDS - MAX_RECORDS / 4);
        for (_, suspect) in &weights[..excess] {
            self.records.remove(suspect);
        }
    }

    fn remove_expired(&mut self, now: Moment) {
        let culprits = &self.culprits;
        self.records.retain(|suspect, record| record.expire(culprits.contains_key(suspect), now));
    }

    /// Determines the culprits anew if that is due.
    fn review(&mut self, now: Moment) {
        if self.reviewed_at.is_some_and(|at| now.since(at) < REVIEW_INTERVAL) {
            return;
        }
        self.remove_expired(now);
        let was_completed =
            |suspect: &CrashSuspect| self.cleared.get(suspect).is_some_and(|c| c.completed);
        self.culprits = culprits::find(&self.records, was_completed, now);
        self.reviewed_at = Some(now);
    }
}

/// Returns until when a crash counts that a peer repeats, or `None` if it counts no more. Instances can't
/// keep a crash alive by telling it to each other.
fn counts_until(time_left: Duration, now: Moment) -> Option<Moment> {
    (!time_left.is_zero()).then(|| now.after(time_left.min(HOLD_PERIOD)))
}
