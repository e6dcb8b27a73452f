//! The instances of the system as this one sees them.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::{Beacon, Entry};
use nutmeggrade_core::prelude::*;

#[derive(Debug, Clone)]
struct Peer {
    entry: Entry,
    heard: Option<Moment>,
    sequence: u64,
    config: u64,
    leaving: bool,
    in_flight: BTreeMap<EndpointId, u32>,
}

/// Peers, when each was last heard, and what it said.
#[derive(Debug)]
pub struct Membership {
    own: Entry,
    silence: Duration,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Membership {
    /// Makes a table with no peers; one silent for longer than `silence` counts as gone.
    pub fn new(own: &Entry, silence: Duration) -> Self {
        Self { own: own.clone(), silence, peers: BTreeMap::new() }
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
        };
        self.peers.insert(entry.instance.clone(), peer);
        true
    }

    /// Forgets an instance that removed itself from the platform.
    pub fn forget(&mut self, instance: &InstanceId) -> Option<Entry> {
        self.peers.remove(instance).map(|p| p.entry)
    }

    /// Takes a heartbeat; says whether it was fresh. Old, repeated and own ones are dropped.
    pub fn hear(&mut self, beacon: &Beacon, now: Moment) -> bool {
        if beacon.entry.instance == self.own.instance {
            return false;
        }
        self.learn(&beacon.entry);
        let Some(peer) = self.peers.get_mut(&beacon.entry.instance) else { return false };
        let same_life = peer.entry.incarnation == beacon.entry.incarnation;
        if !same_life || beacon.sequence <= peer.sequence {
            return false;
        }
        peer.heard = Some(now);
        peer.sequence = beacon.sequence;
        peer.config = beacon.config;
        peer.leaving = beacon.leaving;
        peer.in_flight.clone_from(&beacon.in_flight);
        true
    }

    /// Lists the peers heard lately.
    pub fn live(&self, now: Moment) -> Vec<&Entry> {
        self.heard_lately(now).map(|p| &p.entry).collect()
    }

    /// Lists the peers that callers may be sent to: heard lately and not leaving.
    pub fn open(&self, now: Moment) -> Vec<&Entry> {
        self.heard_lately(now).filter(|p| !p.leaving).map(|p| &p.entry).collect()
    }

    /// Says whether one life of an instance is known to be in service, this one included.
    pub fn is_alive(&self, instance: &InstanceId, incarnation: u64, now: Moment) -> bool {
        let same = |e: &Entry| e.instance == *instance && e.incarnation == incarnation;
        same(&self.own) || self.heard_lately(now).any(|p| same(&p.entry))
    }

    /// Says whether every peer was heard at or after `at`; one silent for longer than `gone` counts as
    /// gone.
    pub fn all_heard(&self, at: Moment, gone: Duration, now: Moment) -> bool {
        let said = |heard: Moment| heard >= at || now.since(heard) > gone;
        self.peers.values().filter_map(|p| p.heard).all(said)
    }

    /// Returns the highest configuration version that a peer has in force.
    pub fn highest_config(&self) -> u64 {
        self.peers.values().map(|p| p.config).max().unwrap_or(0)
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
