//! Table of the peer instances, built from heartbeats and the platform.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmeggrade_core::peer::{Beacon, Echo, InstanceEntry};
use nutmeggrade_core::prelude::*;

/// Number of own heartbeats whose send time is stored; echoes of older ones are ignored.
const MAX_SENT_HEARTBEATS: usize = 128;

#[derive(Debug, Clone)]
struct Peer {
    entry: InstanceEntry,
    last_heartbeat: Option<Moment>,
    sequence: u64,
    config_version: u64,
    leaving: bool,
    in_flight: BTreeMap<EndpointId, u32>,
    platform_age: Option<Duration>,
    last_contact: Option<Moment>,
}

/// An instance that may be a member of the next epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Incarnation of the instance.
    pub incarnation: u64,
    /// Whether it can write the epoch.
    pub platform_reachable: bool,
}

/// Table of the peers with their last heartbeats.
#[derive(Debug)]
pub struct Membership {
    own_entry: InstanceEntry,
    timeout: Duration,
    peers: BTreeMap<InstanceId, Peer>,
    sent: VecDeque<(u64, Moment)>,
}

impl Membership {
    /// Creates a table without peers; a peer silent for longer than `timeout` counts as gone.
    pub fn new(own_entry: &InstanceEntry, timeout: Duration) -> Self {
        Self {
            own_entry: own_entry.clone(),
            timeout,
            peers: BTreeMap::new(),
            sent: VecDeque::new(),
        }
    }

    /// Returns this instance's own entry.
    pub const fn own(&self) -> &InstanceEntry {
        &self.own_entry
    }

    /// Adds an instance listed by the platform; returns whether it is new or has a newer
    /// incarnation.
    pub fn add_instance(&mut self, entry: &InstanceEntry) -> bool {
        if entry.instance == self.own_entry.instance {
            return false;
        }
        let known = self.peers.get(&entry.instance);
        if known.is_some_and(|p| p.entry.incarnation >= entry.incarnation) {
            return false;
        }
        let peer = Peer {
            entry: entry.clone(),
            last_heartbeat: None,
            sequence: 0,
            config_version: 0,
            leaving: false,
            in_flight: BTreeMap::new(),
            platform_age: None,
            last_contact: None,
        };
        self.peers.insert(entry.instance.clone(), peer);
        true
    }

    /// Removes an instance that deregistered itself from the platform.
    pub fn remove_instance(&mut self, instance: &InstanceId) -> Option<InstanceEntry> {
        self.peers.remove(instance).map(|p| p.entry)
    }

    /// Processes a heartbeat; returns whether it was fresh. Old, repeated and own heartbeats are
    /// dropped, and those of an incarnation whose addresses are unknown.
    pub fn receive_heartbeat(&mut self, beacon: &Beacon, now: Moment) -> bool {
        if beacon.instance == self.own_entry.instance {
            return false;
        }
        if let Some(entry) = &beacon.entry {
            self.add_instance(entry);
        }
        let Some(peer) = self.peers.get_mut(&beacon.instance) else { return false };
        let same_incarnation = peer.entry.incarnation == beacon.incarnation;
        if !same_incarnation || beacon.sequence <= peer.sequence {
            return false;
        }
        peer.last_heartbeat = Some(now);
        peer.sequence = beacon.sequence;
        peer.config_version = beacon.config;
        peer.leaving = beacon.leaving;
        peer.in_flight.clone_from(&beacon.in_flight);
        peer.platform_age = beacon.platform;
        let echo = beacon.echoes.get(&self.own_entry.instance);
        let echo = echo.filter(|e| e.incarnation == self.own_entry.incarnation);
        let sent = echo.and_then(|e| self.sent.iter().find(|(n, _)| *n == e.sequence));
        peer.last_contact = peer.last_contact.max(sent.map(|(_, at)| *at));
        true
    }

    /// Records the send time of a heartbeat of this instance.
    pub fn note_sent(&mut self, sequence: u64, now: Moment) {
        self.sent.push_back((sequence, now));
        if self.sent.len() > MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
    }

    /// Returns the last heartbeat received from each peer, for this instance's next heartbeat.
    pub fn echoes(&self) -> BTreeMap<InstanceId, Echo> {
        let echo = |p: &Peer| Echo { incarnation: p.entry.incarnation, sequence: p.sequence };
        let heard_peers = self.peers.iter().filter(|(_, p)| p.last_heartbeat.is_some());
        heard_peers.map(|(instance, p)| (instance.clone(), echo(p))).collect()
    }

    /// Returns the latest moment at which this instance was in contact with a majority of `size`
    /// instances, itself included; `None` if it never was.
    ///
    /// A peer counts as of this instance's heartbeat that it echoed, not as of the arrival of its
    /// heartbeat: a process that was frozen finds minutes of old heartbeats in its buffers, and by
    /// their arrival all peers would seem to be alive.
    pub fn quorum_since(&self, size: usize) -> Option<Moment> {
        let mut answered: Vec<Moment> =
            self.peers.values().filter_map(|p| p.last_contact).collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let majority_peers = (size / 2).max(1);
        answered.get(majority_peers - 1).copied()
    }

    /// Lists the known peers without a recent heartbeat.
    pub fn silent(&self, now: Moment) -> Vec<InstanceEntry> {
        let silent = self.peers.values().filter(|p| !self.is_live(&p.entry.instance, now));
        silent.map(|p| p.entry.clone()).collect()
    }

    /// Returns the number of known instances, including this one.
    pub fn instance_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Lists the peers that may be members of the next epoch, with whether each had contact with
    /// the platform within `max_age`.
    pub fn candidates(&self, max_age: Duration, now: Moment) -> BTreeMap<InstanceId, Candidate> {
        let candidate = |p: &Peer| Candidate {
            incarnation: p.entry.incarnation,
            platform_reachable: p.platform_age.is_some_and(|age| age <= max_age),
        };
        let eligible = self.recently_heard(now).filter(|p| !p.leaving);
        eligible.map(|p| (p.entry.instance.clone(), candidate(p))).collect()
    }

    /// Lists the peers with a recent heartbeat.
    pub fn live(&self, now: Moment) -> Vec<&InstanceEntry> {
        self.recently_heard(now).map(|p| &p.entry).collect()
    }

    /// Lists the peers that callers may be sent to: those with a recent heartbeat that are not
    /// leaving.
    pub fn accepting(&self, now: Moment) -> Vec<&InstanceEntry> {
        self.recently_heard(now).filter(|p| !p.leaving).map(|p| &p.entry).collect()
    }

    /// Returns whether an instance is live, which includes this one.
    pub fn is_live(&self, instance: &InstanceId, now: Moment) -> bool {
        *instance == self.own_entry.instance
            || self.recently_heard(now).any(|p| p.entry.instance == *instance)
    }

    /// Returns whether one incarnation of an instance is live, which includes this one.
    pub fn is_alive(&self, instance: &InstanceId, incarnation: u64, now: Moment) -> bool {
        let is_match = |e: &InstanceEntry| e.instance == *instance && e.incarnation == incarnation;
        is_match(&self.own_entry) || self.recently_heard(now).any(|p| is_match(&p.entry))
    }

    /// Returns whether every peer echoed a heartbeat sent at or after `at`; a peer silent for
    /// longer than `max_silence` is skipped.
    pub fn all_heard(&self, at: Moment, max_silence: Duration, now: Moment) -> bool {
        let answered = |p: &Peer| p.last_contact.is_some_and(|contact| contact >= at);
        let is_gone = |p: &Peer| p.last_heartbeat.is_none_or(|last| now.since(last) > max_silence);
        self.peers.values().all(|p| answered(p) || is_gone(p))
    }

    /// Lists the peers whose configuration in force has at least this version.
    pub fn peers_with_config(&self, version: u64) -> Vec<InstanceEntry> {
        let holders = self.peers.values().filter(|p| p.config_version >= version);
        holders.map(|p| p.entry.clone()).collect()
    }

    /// Returns the configuration version in force on each live peer.
    pub fn configs(&self, now: Moment) -> BTreeMap<InstanceId, u64> {
        self.recently_heard(now).map(|p| (p.entry.instance.clone(), p.config_version)).collect()
    }

    /// Returns the number of requests that live peers have in flight at each endpoint.
    pub fn in_flight(&self, now: Moment) -> BTreeMap<EndpointId, u32> {
        let mut sums = BTreeMap::new();
        for (endpoint, count) in self.recently_heard(now).flat_map(|p| &p.in_flight) {
            *sums.entry(endpoint.clone()).or_default() += count;
        }
        sums
    }

    fn recently_heard(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        let recent = move |at: Moment| now.since(at) <= self.timeout;
        self.peers.values().filter(move |p| p.last_heartbeat.is_some_and(recent))
    }
}
