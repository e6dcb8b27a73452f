//! Table of requests suspected of crashing engines.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::{Crash, PromptHash, Suspect};
use nutmeggrade_core::prelude::*;

use crate::invariant;

/// How long a crash counts against a request: long enough for a caller that keeps resending it,
/// short enough for a repaired engine or a wrong suspicion to expire.
const KEEP: Duration = Duration::from_mins(10);
/// Maximum time between two reports of one engine's crash, seen by different instances or requests,
/// for them to count as one crash.
const SAME: Duration = Duration::from_secs(3);
/// Time without a heartbeat after which a peer's trials are ignored.
const FRESH: Duration = Duration::from_secs(3);
/// Maximum number of suspect requests in the own table and per peer; the oldest is evicted first.
const MOST: usize = 128;

/// Identifies one waiting request within this instance.
pub type TrialId = u64;

/// Admission decision for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
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
struct Seen {
    engine: EndpointId,
    at: Moment,
    first: bool,
    trial: bool,
}

#[derive(Debug, Clone, Default)]
struct Mark {
    crashes: Vec<Seen>,
    cleared: Option<Moment>,
    whole: Option<Moment>,
    waiting: bool,
    running: bool,
}

impl Mark {
    fn newest(&self) -> Option<Moment> {
        self.crashes.iter().map(|c| c.at).max().max(self.cleared).max(self.whole)
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
    marks: BTreeMap<PromptHash, Mark>,
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
    own: InstanceId,
    settle: Duration,
    marks: BTreeMap<PromptHash, Mark>,
    trials: BTreeMap<TrialId, Trial>,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Suspects {
    /// Creates an empty table; `beacon` is the heartbeat interval.
    pub fn new(own: &InstanceId, beacon: Duration) -> Self {
        Self {
            own: own.clone(),
            // A trial that started at a peer is announced within two heartbeats; the rest allows
            // for transit.
            settle: beacon * 2 + beacon / 2,
            marks: BTreeMap::new(),
            trials: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Returns the admission decision for a request; a waiting request asks again with the same id.
    pub fn gate(&mut self, request: PromptHash, id: TrialId, now: Moment) -> Gate {
        self.forget(now);
        if self.is_condemned(request, now) {
            return Gate::Refuse;
        }
        let held = self.held(request, now);
        if distinct(&held) >= 2 {
            // A report that another request caused the last crash may still be on its way from a
            // peer.
            return Gate::Wait;
        }
        if !held.iter().any(|c| c.first) {
            return Gate::Free;
        }
        let trial = Trial { request, since: now, running: false };
        let trial = *self.trials.entry(id).or_insert(trial);
        if now.since(trial.since) < self.settle || !self.is_next(request, id, now) {
            return Gate::Wait;
        }
        self.trials.insert(id, Trial { running: true, ..trial });
        let running = self.trials.values().filter(|t| t.running).count();
        invariant::check(running == 1, "one_suspect_runs");
        Gate::Trial
    }

    /// Ends the wait or trial of a request, whatever its result.
    pub fn end(&mut self, id: TrialId) {
        self.trials.remove(&id);
    }

    /// Records that the first token of a request arrived, or, with `whole`, its complete answer.
    /// Earlier crashes before a first token stop counting against the request, or with `whole` all
    /// earlier crashes.
    pub fn clear(&mut self, request: PromptHash, whole: bool, now: Moment) {
        if self.held(request, now).is_empty() {
            return;
        }
        let mark = self.marks.entry(request).or_default();
        mark.cleared = Some(now);
        if whole {
            mark.whole = Some(now);
        }
    }

    /// Records that an engine crashed while running a request; `first` if no token of it had
    /// arrived.
    pub fn crash(
        &mut self,
        request: PromptHash,
        id: TrialId,
        engine: &EndpointId,
        first: bool,
        now: Moment,
    ) {
        let trial = first && self.trials.get(&id).is_some_and(|t| t.running);
        let seen = Seen { engine: engine.clone(), at: now, first, trial };
        self.marks.entry(request).or_default().crashes.push(seen);
        self.forget(now);
    }

    /// Replaces the suspects that a peer reported.
    pub fn hear(&mut self, peer: &InstanceId, suspects: &[Suspect], now: Moment) {
        let mark = |s: &Suspect| {
            let seen = |c: &Crash| Seen {
                engine: c.engine.clone(),
                at: before(now, c.age),
                first: c.first,
                trial: c.trial,
            };
            Mark {
                crashes: s.crashes.iter().map(seen).collect(),
                cleared: s.cleared.map(|age| before(now, age)),
                whole: s.whole.map(|age| before(now, age)),
                waiting: s.waiting,
                running: s.running,
            }
        };
        let marks = suspects.iter().take(MOST).map(|s| (s.request, mark(s))).collect();
        self.peers.insert(peer.clone(), Peer { heard: now, marks });
        self.forget(now);
    }

    /// Returns the suspects to report to the peers.
    pub fn tell(&mut self, now: Moment) -> Vec<Suspect> {
        self.forget(now);
        let mut told: BTreeMap<PromptHash, Mark> = self.marks.clone();
        for trial in self.trials.values() {
            let mark = told.entry(trial.request).or_default();
            mark.waiting = true;
            mark.running |= trial.running;
        }
        let suspect = |(request, mark): (PromptHash, Mark)| {
            let crash = |c: &Seen| Crash {
                engine: c.engine.clone(),
                age: now.since(c.at),
                first: c.first,
                trial: c.trial,
            };
            Suspect {
                request,
                crashes: mark.crashes.iter().map(crash).collect(),
                cleared: mark.cleared.map(|at| now.since(at)),
                whole: mark.whole.map(|at| now.since(at)),
                waiting: mark.waiting,
                running: mark.running,
            }
        };
        told.into_iter().map(suspect).take(MOST).collect()
    }

    /// Returns the number of rejected requests.
    pub fn condemned(&self, now: Moment) -> usize {
        let peers = self.peers.values().flat_map(|p| p.marks.keys());
        let all: std::collections::BTreeSet<_> = self.marks.keys().chain(peers).collect();
        all.into_iter().filter(|r| self.is_condemned(**r, now)).count()
    }

    fn is_condemned(&self, request: PromptHash, now: Moment) -> bool {
        let mut held = self.held(request, now);
        if held.iter().any(|c| c.trial) {
            return true;
        }
        held.retain(|c| now.since(c.at) >= self.settle);
        distinct(&held) >= 2
    }

    /// Lists the crashes that count against a request: recent, after it was last cleared, and not
    /// caused by another request that crashed the engine in a trial.
    fn held(&self, request: PromptHash, now: Moment) -> Vec<&Seen> {
        let marks = || self.all().filter(|(r, _)| *r == request).map(|(_, m)| m);
        let cleared = marks().filter_map(|m| m.cleared).max();
        let whole = marks().filter_map(|m| m.whole).max();
        let since = |c: &Seen| if c.first { cleared.max(whole) } else { whole };
        let crashes = marks().flat_map(|m| &m.crashes);
        let recent = crashes.filter(|c| now.since(c.at) <= KEEP && Some(c.at) > since(c));
        recent.filter(|c| c.trial || !self.is_explained(request, c)).collect()
    }

    fn is_explained(&self, request: PromptHash, crash: &Seen) -> bool {
        let guilty = |r: PromptHash| {
            self.all().any(|(other, m)| other == r && m.crashes.iter().any(|c| c.trial))
        };
        let near = |m: &Mark| m.crashes.iter().any(|c| same(c, crash));
        self.all().any(|(other, m)| other != request && near(m) && guilty(other))
    }

    fn all(&self) -> impl Iterator<Item = (PromptHash, &Mark)> {
        let peers = self.peers.values().flat_map(|p| &p.marks);
        self.marks.iter().chain(peers).map(|(r, m)| (*r, m))
    }

    /// Returns whether no trial runs anywhere and no waiting suspect goes first.
    fn is_next(&self, request: PromptHash, id: TrialId, now: Moment) -> bool {
        let own = self.trials.iter().filter(|(other, _)| **other != id);
        let before_us =
            |(other, t): (&TrialId, &Trial)| t.running || (t.request, *other) < (request, id);
        if own.into_iter().any(before_us) {
            return false;
        }
        let fresh = self.peers.iter().filter(|(_, p)| now.since(p.heard) <= FRESH);
        let mut marks = fresh.flat_map(|(name, p)| p.marks.iter().map(move |(r, m)| (name, r, m)));
        !marks.any(|(name, r, m)| m.running || (m.waiting && (*r, name) < (request, &self.own)))
    }

    fn forget(&mut self, now: Moment) {
        let keep = |m: &Mark| m.newest().is_some_and(|at| now.since(at) <= KEEP);
        self.marks.retain(|_, m| keep(m));
        for peer in self.peers.values_mut() {
            peer.marks.retain(|_, m| keep(m) || m.waiting);
        }
        self.peers.retain(|_, p| !p.marks.is_empty());
        while self.marks.len() > MOST {
            let oldest = self.marks.iter().min_by_key(|(_, m)| m.newest()).map(|(r, _)| *r);
            if let Some(oldest) = oldest {
                self.marks.remove(&oldest);
            }
        }
    }
}

fn before(now: Moment, age: Duration) -> Moment {
    Moment::new(now.since_start().saturating_sub(age))
}

fn same(a: &Seen, b: &Seen) -> bool {
    let apart = a.at.since(b.at).max(b.at.since(a.at));
    a.engine == b.engine && apart <= SAME
}

fn distinct(crashes: &[&Seen]) -> usize {
    let first_of = |n: &usize| !crashes[..*n].iter().any(|c| same(c, crashes[*n]));
    (0..crashes.len()).filter(first_of).count()
}
