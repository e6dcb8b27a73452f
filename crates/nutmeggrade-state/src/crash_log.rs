//! Log of requests that repeatedly crash endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::{EndpointCrash, Fingerprint, SharedCrash};
use nutmeggrade_core::prelude::*;

use crate::recent_map::RecentMap;
use crate::rotation::next_in_rotation;

/// Number of crashes after which a request is blocked. A request that only happened to run at a
/// crashing endpoint is unlikely to be at two others too.
const MIN_CRASHES: usize = 3;
/// Time after its last crash for which a request is blocked: longer than its client keeps resending
/// it, and short enough that a repaired endpoint is tried again.
const BLOCK_PERIOD: Duration = Duration::from_mins(2);
/// Time within which it has to turn out whether an endpoint that lost a request has crashed: the
/// entry of an endpoint outlives it by some seconds, and by an outage of the store.
const LOSS_RETENTION: Duration = Duration::from_secs(30);
/// Longest time between two crashes that may have one cause other than the request, such as a
/// failure domain that loses power.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_secs(2);
/// Number of crashes from which on they are repeated to the peers. Of most requests that ran at a
/// crashing endpoint nothing more is heard.
const MIN_SHARED_CRASHES: usize = 2;
/// Maximum number of stored requests; each crash is recorded for all requests at the endpoint.
const MAX_REQUESTS: usize = 1_024;
/// Maximum number of completed requests in each half of their map, some 200 KB.
const MAX_COMPLETED_HALF: usize = 4_096;

/// An incarnation of an endpoint: its id and start time.
type Incarnation = (EndpointId, u64);

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    /// Crashes, each with the end of the block that it causes.
    crashes: BTreeMap<Incarnation, Moment>,
    /// Losses and their times.
    losses: BTreeMap<Incarnation, Moment>,
}

impl CrashRecord {
    /// Returns the end of the block after the last crash.
    fn block_end(&self) -> Option<Moment> {
        self.crashes.values().max().copied()
    }

    /// Returns the number of crashes, those that may have one common cause counted as one.
    fn separate_crashes(&self) -> usize {
        let mut times: Vec<Moment> = self.crashes.values().copied().collect();
        times.sort_unstable();
        times.dedup_by(|later, earlier| later.since(*earlier) <= COMMON_CAUSE_WINDOW);
        times.len()
    }

    fn is_expired(&self, now: Moment) -> bool {
        self.losses.is_empty() && self.block_end().is_none_or(|end| end <= now)
    }
}

/// Log of requests that were running at endpoints when these crashed.
///
/// Occasionally one request crashes each endpoint that starts to run it, and its client resends it,
/// at any instance. Without a shared log it takes down the service's endpoints one after the other;
/// the symptom is restarts that move through all endpoints. Instances announce to each other which
/// requests were at an endpoint when it crashed, and a request with three such endpoints is
/// blocked.
///
/// An endpoint that lost a request may have crashed or not; the loss counts once the endpoint's
/// incarnation has ended. A request that completes is cleared; if it completed shortly before, crashes
/// at the same time count as one.
#[derive(Debug)]
pub struct CrashLog {
    records: BTreeMap<Fingerprint, CrashRecord>,
    /// When requests were last completed.
    completed: RecentMap<Fingerprint, Moment>,
    share_position: usize,
}

impl Default for CrashLog {
    fn default() -> Self {
        Self::new()
    }
}

impl CrashLog {
    /// Creates an empty log.
    pub const fn new() -> Self {
        let completed = RecentMap::new(BLOCK_PERIOD, MAX_COMPLETED_HALF);
        Self { records: BTreeMap::new(), completed, share_position: 0 }
    }

    /// Records that an endpoint crashed under a request; returns the number of endpoints that have
    /// crashed under it if this one is new.
    pub fn note(&mut self, crash: &EndpointCrash, now: Moment) -> Option<usize> {
        self.note_until(crash, now.after(BLOCK_PERIOD), now)
    }

    /// Records a crash that a peer repeats, unless the request was completed here since.
    pub fn note_shared(&mut self, shared: &SharedCrash, now: Moment) -> Option<usize> {
        // Otherwise instances would keep a crash alive by telling it to each other.
        let time_left = shared.time_left.min(BLOCK_PERIOD);
        let age = BLOCK_PERIOD.saturating_sub(time_left);
        let is_refuted =
            self.completed.get(&shared.crash.request).is_some_and(|at| now.since(*at) <= age);
        if time_left.is_zero() || is_refuted {
            return None;
        }
        self.note_until(&shared.crash, now.after(time_left), now)
    }

    /// Returns some of the crashes under requests that may soon be blocked or are, others at each call,
    /// so that instances learn of them that have just started or missed a message.
    pub fn shared(&mut self, max: usize, now: Moment) -> Vec<SharedCrash> {
        self.remove_expired(now);
        let records = self.records.iter().filter(|(_, r)| r.crashes.len() >= MIN_SHARED_CRASHES);
        let crashes = records.flat_map(|(request, r)| r.crashes.iter().map(move |c| (request, c)));
        let counting: Vec<_> = crashes.filter(|(_, (_, end))| **end > now).collect();
        next_in_rotation(&counting, max, &mut self.share_position)
            .into_iter()
            .map(|(request, ((endpoint, born), end))| SharedCrash {
                crash: EndpointCrash { request: *request, endpoint: endpoint.clone(), born: *born },
                time_left: end.since(now),
            })
            .collect()
    }

    fn note_until(&mut self, crash: &EndpointCrash, end: Moment, now: Moment) -> Option<usize> {
        let record = self.record(&crash.request, now);
        let incarnation = (crash.endpoint.clone(), crash.born);
        record.losses.remove(&incarnation);
        if record.crashes.contains_key(&incarnation) {
            return None;
        }
        record.crashes.insert(incarnation, end);
        Some(record.crashes.len())
    }

    /// Records that an endpoint lost a request, and that it isn't known whether it crashed.
    pub fn note_loss(&mut self, loss: &EndpointCrash, now: Moment) {
        let record = self.record(&loss.request, now);
        let incarnation = (loss.endpoint.clone(), loss.born);
        if !record.crashes.contains_key(&incarnation) {
            record.losses.insert(incarnation, now);
        }
    }

    /// Counts the losses at endpoints whose incarnation has ended as crashes; returns these, each
    /// with the number of endpoints that have crashed under its request.
    pub fn settle(
        &mut self,
        has_ended: impl Fn(&EndpointId, u64) -> bool,
        now: Moment,
    ) -> Vec<(EndpointCrash, usize)> {
        self.remove_expired(now);
        let mut settled = Vec::new();
        for (request, record) in &mut self.records {
            let ended =
                record.losses.extract_if(.., |(endpoint, born), _| has_ended(endpoint, *born));
            for ((endpoint, born), lost_at) in ended {
                let block_end = lost_at.after(BLOCK_PERIOD);
                record.crashes.insert((endpoint.clone(), born), block_end);
                let crash = EndpointCrash { request: *request, endpoint, born };
                settled.push((crash, record.crashes.len()));
            }
        }
        settled
    }

    /// Records that an endpoint completed a request, which clears it.
    pub fn note_completed(&mut self, request: &Fingerprint, now: Moment) {
        self.records.remove(request);
        self.completed.insert(*request, now, now);
    }

    /// Returns whether a request is blocked.
    pub fn holds(&self, request: &Fingerprint, now: Moment) -> bool {
        let Some(record) = self.records.get(request) else { return false };
        let crashes = if self.completed.get(request).is_some() {
            record.separate_crashes()
        } else {
            record.crashes.len()
        };
        crashes >= MIN_CRASHES && record.block_end().is_some_and(|end| end > now)
    }

    /// Returns the record of a request. If there are too many, the one with the fewest crashes is
    /// dropped.
    fn record(&mut self, request: &Fingerprint, now: Moment) -> &mut CrashRecord {
        self.remove_expired(now);
        if self.records.len() >= MAX_REQUESTS && !self.records.contains_key(request) {
            let weight = |record: &CrashRecord| (record.crashes.len(), record.block_end());
            let least = self.records.iter().min_by_key(|(_, record)| weight(record));
            if let Some(least) = least.map(|(request, _)| *request) {
                self.records.remove(&least);
            }
        }
        self.records.entry(*request).or_default()
    }

    fn remove_expired(&mut self, now: Moment) {
        self.records.retain(|_, record| {
            record.losses.retain(|_, lost_at| now.since(*lost_at) <= LOSS_RETENTION);
            !record.is_expired(now)
        });
    }
}
