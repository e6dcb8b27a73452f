//! Table of requests suspected of crashing engines.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::{Crash, PromptHash, Suspect};
use nutmeggrade_core::prelude::*;

use crate::invariant;

/// How long a crash counts against a request: long enough for a caller that keeps resending it,
/// short enough for a repaired engine or a wrong suspicion to expire.
const CRASH_RETENTION: Duration = Duration::from_mins(10);
/// Maximum time between two reports of one engine's crash, seen by different instances or requests,
/// for them to count as one crash.
const CRASH_MERGE_WINDOW: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which a peer's trials are ignored.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of suspect requests in this instance's table and per peer; the oldest is evicted
/// first.
const MAX_REQUESTS: usize = 128;

/// Identifies one waiting request within this instance.
pub type TrialId = u64;

/// Admission decision for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Start it as usual.
    Free,
    /// Start it as the only running suspect.
    Trial,
    /// Ask again soon.
    Wait,
    /// Reject it for good, because it crashed engines.
    Refuse,
}

#[derive(Debug, Clone)]
struct CrashRecord {
    engine: EndpointId,
    at: Moment,
    before_token: bool,
    trial: bool,
}

#[derive(Debug, Clone, Default)]
struct RequestRecord {
    crashes: Vec<CrashRecord>,
    cleared: Option<Moment>,
    completed: Option<Moment>,
    waiting: bool,
    running: bool,
}

impl RequestRecord {
    fn last_event(&self) -> Option<Moment> {
        self.crashes.iter().map(|c| c.at).max().max(self.cleared).max(self.completed)
    }
}

#[derive(Debug, Clone, Copy)]
struct Trial {
    request: PromptHash,
    since: Moment,
    running: bool,
}

#[derive(Debug)]
struct Peer {
    heard: Moment,
    records: BTreeMap<PromptHash, RequestRecord>,
}

/// Table of requests that were running on an engine when it crashed, here and at peers.
///
/// Occasionally one request crashes each engine that runs it, and its caller keeps resending it.
/// Without a shared record, the engines would go down one after the other. A crash ends all
/// requests on the engine, so a single crash is no proof. A request whose engine crashed before its
/// first token is retried alone: no other such request runs anywhere meanwhile. If its engine
/// crashes again, this request is the cause. All instances then reject it, and its crashes stop
/// counting against the other requests on those engines.
#[derive(Debug)]
pub struct Suspects {
    own_id: InstanceId,
    gossip_delay: Duration,
    records: BTreeMap<PromptHash, RequestRecord>,
    trials: BTreeMap<TrialId, Trial>,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Suspects {
    /// Creates an empty table; `heartbeat_interval` is that of all instances.
    pub fn new(own_id: &InstanceId, heartbeat_interval: Duration) -> Self {
        Self {
            own_id: own_id.clone(),
            // A trial that started at a peer is announced within two heartbeats; the rest allows
            // for transit.
            gossip_delay: heartbeat_interval * 2 + heartbeat_interval / 2,
            records: BTreeMap::new(),
            trials: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the admission decision for a request; a waiting request asks again with the same id.
    pub fn admission(&mut self, request: PromptHash, id: TrialId, now: Moment) -> Admission {
        self.remove_expired(now);
        if self.is_rejected(request, now) {
            return Admission::Refuse;
        }
        let counted = self.counted_crashes(request, now);
        if count_distinct(&counted) >= 2 {
            // A report that another request caused the last crash may still be on its way from a
            // peer.
            return Admission::Wait;
        }
        if !counted.iter().any(|c| c.before_token) {
            return Admission::Free;
        }
        let trial = Trial { request, since: now, running: false };
        let trial = *self.trials.entry(id).or_insert(trial);
        if now.since(trial.since) < self.gossip_delay || !self.is_next(request, id, now) {
            return Admission::Wait;
        }
        self.trials.insert(id, Trial { running: true, ..trial });
        let running = self.trials.values().filter(|t| t.running).count();
        invariant::check(running == 1, "one_suspect_runs");
        Admission::Trial
    }

    /// Ends the wait or trial of a request, whatever its result.
    pub fn end(&mut self, id: TrialId) {
        self.trials.remove(&id);
    }

    /// Records that the first token of a request arrived, or, with `completed`, its complete
    /// response. Earlier crashes before a first token stop counting against the request, or with
    /// `completed` all earlier crashes.
    pub fn clear(&mut self, request: PromptHash, completed: bool, now: Moment) {
        if self.counted_crashes(request, now).is_empty() {
            return;
        }
        let record = self.records.entry(request).or_default();
        record.cleared = Some(now);
        if completed {
            record.completed = Some(now);
        }
    }

    /// Records that an engine crashed while running a request; `before_token` if no token of it had
    /// arrived.
    pub fn crash(
        &mut self,
        request: PromptHash,
        id: TrialId,
        engine: &EndpointId,
        before_token: bool,
        now: Moment,
    ) {
        let trial = before_token && self.trials.get(&id).is_some_and(|t| t.running);
        let crash = CrashRecord { engine: engine.clone(), at: now, before_token, trial };
        self.records.entry(request).or_default().crashes.push(crash);
        self.remove_expired(now);
    }

    /// Replaces the suspects that a peer reported.
    pub fn apply_report(&mut self, peer: &InstanceId, suspects: &[Suspect], now: Moment) {
        let from_suspect = |s: &Suspect| {
            let from_crash = |c: &Crash| CrashRecord {
                engine: c.engine.clone(),
                at: moment_ago(now, c.age),
                before_token: c.before_token,
                trial: c.trial,
            };
            RequestRecord {
                crashes: s.crashes.iter().map(from_crash).collect(),
                cleared: s.cleared.map(|age| moment_ago(now, age)),
                completed: s.whole.map(|age| moment_ago(now, age)),
                waiting: s.waiting,
                running: s.running,
            }
        };
        let records =
            suspects.iter().take(MAX_REQUESTS).map(|s| (s.request, from_suspect(s))).collect();
        self.peers.insert(peer.clone(), Peer { heard: now, records });
        self.remove_expired(now);
    }

    /// Returns the suspects to report to the peers.
    pub fn report(&mut self, now: Moment) -> Vec<Suspect> {
        self.remove_expired(now);
        let mut reported: BTreeMap<PromptHash, RequestRecord> = self.records.clone();
        for trial in self.trials.values() {
            let record = reported.entry(trial.request).or_default();
            record.waiting = true;
            record.running |= trial.running;
        }
        let to_suspect = |(request, record): (PromptHash, RequestRecord)| {
            let to_crash = |c: &CrashRecord| Crash {
                engine: c.engine.clone(),
                age: now.since(c.at),
                before_token: c.before_token,
                trial: c.trial,
            };
            Suspect {
                request,
                crashes: record.crashes.iter().map(to_crash).collect(),
                cleared: record.cleared.map(|at| now.since(at)),
                whole: record.completed.map(|at| now.since(at)),
                waiting: record.waiting,
                running: record.running,
            }
        };
        reported.into_iter().map(to_suspect).take(MAX_REQUESTS).collect()
    }

    /// Returns the number of rejected requests.
    pub fn rejected_count(&self, now: Moment) -> usize {
        let peers = self.peers.values().flat_map(|p| p.records.keys());
        let requests: std::collections::BTreeSet<_> = self.records.keys().chain(peers).collect();
        requests.into_iter().filter(|r| self.is_rejected(**r, now)).count()
    }

    fn is_rejected(&self, request: PromptHash, now: Moment) -> bool {
        let mut counted = self.counted_crashes(request, now);
        if counted.iter().any(|c| c.trial) {
            return true;
        }
        counted.retain(|c| now.since(c.at) >= self.gossip_delay);
        count_distinct(&counted) >= 2
    }

    /// Lists the crashes that count against a request: recent, after it was last cleared, and not
    /// caused by another request that crashed the engine in a trial.
    fn counted_crashes(&self, request: PromptHash, now: Moment) -> Vec<&CrashRecord> {
        let records =
            || self.all_records().filter(|(r, _)| *r == request).map(|(_, record)| record);
        let cleared = records().filter_map(|record| record.cleared).max();
        let completed = records().filter_map(|record| record.completed).max();
        let since =
            |c: &CrashRecord| if c.before_token { cleared.max(completed) } else { completed };
        let crashes = records().flat_map(|record| &record.crashes);
        let recent =
            crashes.filter(|c| now.since(c.at) <= CRASH_RETENTION && Some(c.at) > since(c));
        recent.filter(|c| c.trial || !self.has_other_cause(request, c)).collect()
    }

    fn has_other_cause(&self, request: PromptHash, crash: &CrashRecord) -> bool {
        let is_cause = |r: PromptHash| {
            self.all_records()
                .any(|(other, record)| other == r && record.crashes.iter().any(|c| c.trial))
        };
        let shares_crash =
            |record: &RequestRecord| record.crashes.iter().any(|c| is_same_crash(c, crash));
        self.all_records()
            .any(|(other, record)| other != request && shares_crash(record) && is_cause(other))
    }

    fn all_records(&self) -> impl Iterator<Item = (PromptHash, &RequestRecord)> {
        let peers = self.peers.values().flat_map(|p| &p.records);
        self.records.iter().chain(peers).map(|(r, record)| (*r, record))
    }

    /// Returns whether no trial runs anywhere and no waiting suspect goes first.
    fn is_next(&self, request: PromptHash, id: TrialId, now: Moment) -> bool {
        let other_trials = self.trials.iter().filter(|(other, _)| **other != id);
        let goes_first =
            |(other, t): (&TrialId, &Trial)| t.running || (t.request, *other) < (request, id);
        if other_trials.into_iter().any(goes_first) {
            return false;
        }
        let recent = self.peers.iter().filter(|(_, p)| now.since(p.heard) <= PEER_TIMEOUT);
        let mut records =
            recent.flat_map(|(name, p)| p.records.iter().map(move |(r, record)| (name, r, record)));
        !records.any(|(name, r, record)| {
            record.running || (record.waiting && (*r, name) < (request, &self.own_id))
        })
    }

    fn remove_expired(&mut self, now: Moment) {
        let is_recent = |record: &RequestRecord| {
            record.last_event().is_some_and(|at| now.since(at) <= CRASH_RETENTION)
        };
        self.records.retain(|_, record| is_recent(record));
        for peer in self.peers.values_mut() {
            peer.records.retain(|_, record| is_recent(record) || record.waiting);
        }
        self.peers.retain(|_, p| !p.records.is_empty());
        while self.records.len() > MAX_REQUESTS {
            let oldest =
                self.records.iter().min_by_key(|(_, record)| record.last_event()).map(|(r, _)| *r);
            if let Some(oldest) = oldest {
                self.records.remove(&oldest);
            }
        }
    }
}

fn moment_ago(now: Moment, age: Duration) -> Moment {
    Moment::new(now.since_start().saturating_sub(age))
}

fn is_same_crash(a: &CrashRecord, b: &CrashRecord) -> bool {
    let apart = a.at.since(b.at).max(b.at.since(a.at));
    a.engine == b.engine && apart <= CRASH_MERGE_WINDOW
}

fn count_distinct(crashes: &[&CrashRecord]) -> usize {
    let is_first_report = |n: &usize| !crashes[..*n].iter().any(|c| is_same_crash(c, crashes[*n]));
    (0..crashes.len()).filter(is_first_report).count()
}
