//! Requests that are suspected of crashing engines.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::{Crash, PromptHash, Suspect};
use nutmeggrade_core::prelude::*;

use crate::invariant;

/// How long a crash is held against a request: long enough for a caller that sends it again and
/// again, short enough that a mended engine or a wrong suspicion is forgotten.
const KEEP: Duration = Duration::from_mins(10);
/// Two crashes of one engine this close are one crash, seen from two instances or requests.
const SAME: Duration = Duration::from_secs(3);
/// A peer's trial counts for as long as the peer was heard within this time.
const FRESH: Duration = Duration::from_secs(3);
/// Requests that one instance keeps; the oldest goes first.
const MOST: usize = 128;

/// Names one waiting request inside this instance.
pub type TrialId = u64;

/// What a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// Start as usual.
    Free,
    /// Start as the only suspect that runs.
    Trial,
    /// Ask again soon.
    Wait,
    /// It crashed engines: refuse it for good.
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

/// Requests that ran on an engine when it crashed, here and at peers.
///
/// Now and then one request crashes each engine that runs it, and its caller sends it again. Without
/// a memory of it every engine goes down in turn. A crash takes all requests of the engine with it,
/// so a crash alone condemns nobody. A request whose engine crashed before its first token is tried
/// again alone: no other such request runs anywhere meanwhile. If its engine crashes again, it is the
/// cause, it is refused on all instances, and its crashes are no longer held against its neighbours.
#[derive(Debug)]
pub struct Suspects {
    own: InstanceId,
    settle: Duration,
    marks: BTreeMap<PromptHash, Mark>,
    trials: BTreeMap<TrialId, Trial>,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Suspects {
    /// Makes an empty table; `beacon` is the time between two words to the peers.
    pub fn new(own: &InstanceId, beacon: Duration) -> Self {
        Self {
            own: own.clone(),
            // A trial elsewhere that began unseen is heard of within two beacons; the rest is for
            // the way.
            settle: beacon * 2 + beacon / 2,
            marks: BTreeMap::new(),
            trials: BTreeMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Says what a request may do now; a waiting one asks again with the same id.
    pub fn gate(&mut self, request: PromptHash, id: TrialId, now: Moment) -> Gate {
        self.forget(now);
        if self.is_condemned(request, now) {
            return Gate::Refuse;
        }
        let held = self.held(request, now);
        if distinct(&held) >= 2 {
            // A peer may be about to tell that another request caused the last crash.
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

    /// Ends a request's wait or trial, whatever came of it.
    pub fn end(&mut self, id: TrialId) {
        self.trials.remove(&id);
    }

    /// Notes that a request's first token came, or that its answer is `whole`: it is not held to
    /// crash engines before its first token, or at all.
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

    /// Notes that an engine crashed while it ran a request; `first` if no token of it had come.
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

    /// Takes what a peer knows.
    pub fn hear(&mut self, peer: &InstanceId, suspects: &[Suspect], now: Moment) {
        let mark = |s: &Suspect| {
            let seen = |c: &Crash| Seen {
                engine: c.engine.clone(),
                at: before(now, c.age),
                first: c.before_token,
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

    /// Returns what this instance tells its peers.
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
                before_token: c.first,
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

    /// Returns how many requests are refused.
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

    /// Lists the crashes that are held against a request: not old, not before it was cleared, and not
    /// explained by another request that crashed its engine in a trial.
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

    /// Says whether no trial runs anywhere and nobody waits who goes first.
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
