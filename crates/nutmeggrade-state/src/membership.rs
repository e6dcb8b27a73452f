//! The instances of the system as this one sees them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::peer::{Beacon, Echo, Entry};
use nutmeggrade_core::prelude::*;

/// Own heartbeats whose time of sending is remembered; an older echo counts for nothing.
const SENT: usize = 128;

#[derive(Debug, Clone)]
struct Peer {
    entry: Entry,
    heard: Option<Moment>,
    sequence: u64,
    config: u64,
    leaving: bool,
    in_flight: BTreeMap<EndpointId, u32>,
    platform: Option<Duration>,
    as_of: Option<Moment>,
}

/// An instance that may be a member of the next epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Its incarnation.
    pub incarnation: u64,
    /// Whether it can write the epoch.
    pub hears_platform: bool,
}

/// Peers, when each was last heard, and what it said.
#[derive(Debug)]
pub struct Membership {
    own: Entry,
    silence: Duration,
    peers: BTreeMap<InstanceId, Peer>,
    sent: VecDeque<(u64, Moment)>,
}

impl Membership {
    /// Makes a table with no peers; one silent for longer than `silence` counts as gone.
    pub fn new(own: &Entry, silence: Duration) -> Self {
        Self { own: own.clone(), silence, peers: BTreeMap::new(), sent: VecDeque::new() }
    }

    /// Returns this instance's own entry.
    pub const fn own(&self) -> &Entry {
        &self.own
    }

    /// Learns of an instance from the platform; says whether it is new or in a newer life.
    pub fn learn(&mut self, entry: &Entry) -> bool {
        if entry.instance == self.own.instance {
            return false;
        }
        let known = self.peers.get(&entry.instance);
        if known.is_some_and(|p| p.entry.incarnation >= entry.incarnation) {
            return false;
        }
        let peer = Peer {
            entry: entry.clone(),
            heard: None,
            sequence: 0,
            config: 0,
            leaving: false,
            in_flight: BTreeMap::new(),
            platform: None,
            as_of: None,
        };
        self.peers.insert(entry.instance.clone(), peer);
        true
    }

    /// Forgets an instance that removed itself from the platform.
    pub fn forget(&mut self, instance: &InstanceId) -> Option<Entry> {
        self.peers.remove(instance).map(|p| p.entry)
    }

    /// Takes a heartbeat; says whether it was fresh. Old, repeated and own ones are dropped, and those
    /// of a life whose addresses are not known yet.
    pub fn hear(&mut self, beacon: &Beacon, now: Moment) -> bool {
        if beacon.instance == self.own.instance {
            return false;
        }
        if let Some(entry) = &beacon.entry {
            self.learn(entry);
        }
        let Some(peer) = self.peers.get_mut(&beacon.instance) else { return false };
        let same_life = peer.entry.incarnation == beacon.incarnation;
        if !same_life || beacon.sequence <= peer.sequence {
            return false;
        }
        peer.heard = Some(now);
        peer.sequence = beacon.sequence;
        peer.config = beacon.config;
        peer.leaving = beacon.leaving;
        peer.in_flight.clone_from(&beacon.in_flight);
        peer.platform = beacon.platform;
        let echo = beacon.echoes.get(&self.own.instance);
        let echo = echo.filter(|e| e.incarnation == self.own.incarnation);
        let sent = echo.and_then(|e| self.sent.iter().find(|(n, _)| *n == e.sequence));
        peer.as_of = peer.as_of.max(sent.map(|(_, at)| *at));
        true
    }

    /// Notes when an own heartbeat is about to be sent.
    pub fn note_sent(&mut self, sequence: u64, now: Moment) {
        self.sent.push_back((sequence, now));
        if self.sent.len() > SENT {
            self.sent.pop_front();
        }
    }

    /// Lists the last heartbeat heard of each peer, for the next own one.
    pub fn echoes(&self) -> BTreeMap<InstanceId, Echo> {
        let echo = |p: &Peer| Echo { incarnation: p.entry.incarnation, sequence: p.sequence };
        let heard = self.peers.iter().filter(|(_, p)| p.heard.is_some());
        heard.map(|(instance, p)| (instance.clone(), echo(p))).collect()
    }

    /// Returns the moment as of which this instance was together with more than half of `size`
    /// instances, itself included; `None` if it never was.
    ///
    /// A peer counts as of the own heartbeat that it answered, not as of the arrival of its word: a
    /// process that was frozen finds minutes of old heartbeats in its buffers, and by their arrival
    /// all peers would seem to be there.
    pub fn together_since(&self, size: usize) -> Option<Moment> {
        let mut answered: Vec<Moment> = self.peers.values().filter_map(|p| p.as_of).collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let needed = (size / 2).max(1);
        answered.get(needed - 1).copied()
    }

    /// Lists the peers that are known and not heard lately.
    pub fn silent(&self, now: Moment) -> Vec<Entry> {
        let silent = self.peers.values().filter(|p| !self.is_live(&p.entry.instance, now));
        silent.map(|p| p.entry.clone()).collect()
    }

    /// Counts the instances that are known, this one included.
    pub fn known(&self) -> usize {
        self.peers.len() + 1
    }

    /// Lists the peers that may be members of the next epoch, and which of them heard the platform
    /// within `patience`.
    pub fn candidates(&self, patience: Duration, now: Moment) -> BTreeMap<InstanceId, Candidate> {
        let candidate = |p: &Peer| Candidate {
            incarnation: p.entry.incarnation,
            hears_platform: p.platform.is_some_and(|age| age <= patience),
        };
        let open = self.heard_lately(now).filter(|p| !p.leaving);
        open.map(|p| (p.entry.instance.clone(), candidate(p))).collect()
    }

    /// Lists the peers heard lately.
    pub fn live(&self, now: Moment) -> Vec<&Entry> {
        self.heard_lately(now).map(|p| &p.entry).collect()
    }

    /// Lists the peers that callers may be sent to: heard lately and not leaving.
    pub fn open(&self, now: Moment) -> Vec<&Entry> {
        self.heard_lately(now).filter(|p| !p.leaving).map(|p| &p.entry).collect()
    }

    /// Says whether an instance is known to be in service, this one included.
    pub fn is_live(&self, instance: &InstanceId, now: Moment) -> bool {
        *instance == self.own.instance
            || self.heard_lately(now).any(|p| p.entry.instance == *instance)
    }

    /// Says whether one life of an instance is known to be in service, this one included.
    pub fn is_alive(&self, instance: &InstanceId, incarnation: u64, now: Moment) -> bool {
        let same = |e: &Entry| e.instance == *instance && e.incarnation == incarnation;
        same(&self.own) || self.heard_lately(now).any(|p| same(&p.entry))
    }

    /// Says whether every peer answered a heartbeat sent at or after `at`; one silent for longer than `gone` counts as
    /// gone.
    pub fn all_heard(&self, at: Moment, gone: Duration, now: Moment) -> bool {
        let answered = |p: &Peer| p.as_of.is_some_and(|as_of| as_of >= at);
        let is_gone = |p: &Peer| p.heard.is_none_or(|heard| now.since(heard) > gone);
        self.peers.values().all(|p| answered(p) || is_gone(p))
    }

    /// Lists the peers that have at least this version of the configuration in force.
    pub fn holders(&self, version: u64) -> Vec<Entry> {
        let holders = self.peers.values().filter(|p| p.config >= version);
        holders.map(|p| p.entry.clone()).collect()
    }

    /// Lists what version each live instance has in force.
    pub fn configs(&self, now: Moment) -> BTreeMap<InstanceId, u64> {
        self.heard_lately(now).map(|p| (p.entry.instance.clone(), p.config)).collect()
    }

    /// Sums what live peers have in flight at each endpoint.
    pub fn in_flight(&self, now: Moment) -> BTreeMap<EndpointId, u32> {
        let mut sums = BTreeMap::new();
        for (endpoint, count) in self.heard_lately(now).flat_map(|p| &p.in_flight) {
            *sums.entry(endpoint.clone()).or_default() += count;
        }
        sums
    }

    fn heard_lately(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        let recent = move |at: Moment| now.since(at) <= self.silence;
        self.peers.values().filter(move |p| p.heard.is_some_and(recent))
    }
}
