//! Table of the peer instances that serve routes, built from their heartbeats.

mod digest;
mod forwarding;
mod judges;
mod ranking;
mod readers;
mod recipients;
mod sources;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::{Contacts, FleetBeacon, HeardPeer, InstanceAddresses, Revisions};
use nutmeggrade_core::prelude::*;

use digest::FreshPeers;
pub use digest::REMOTE_DIGEST_ENTRIES;
pub use recipients::{BroadcastRecipients, RelayOrder};
pub use sources::SourceScope;

/// Minimum number of instances in a client's failure domain for the client to be offered only
/// those.
const MIN_NEARBY_ENTRIES: usize = 3;
/// Interval between two heartbeats of an instance. Changes of placed work are sent immediately, so
/// this only bounds how soon a silent instance is detected.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Silence after which a peer is left out when limits are divided. A peer that is only partitioned
/// keeps using its share, and it may take that long to detect the partition.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after a start in which limits are divided by at least [`ASSUMED_INSTANCES`]. After it,
/// heartbeats of all peers have arrived.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);
/// Minimum number of instances assumed while a new instance has not yet heard from its peers.
const ASSUMED_INSTANCES: usize = 12;
/// Number of peer addresses in the introduction of a heartbeat. They let a new instance that has
/// one seed soon exchange heartbeats with all peers.
const MAX_INTRODUCED_PEERS: usize = 8;
/// Maximum number of stored peer addresses, a few times the largest deployment.
const MAX_CONTACTS: usize = 2_048;

#[derive(Debug, Clone)]
struct Peer {
    addresses: InstanceAddresses,
    incarnation: u64,
    /// Sequence number of the last heartbeat that was received.
    sequence: u64,
    /// The same of the newest heartbeat that was received or that a peer passed on.
    newest_sequence: u64,
    /// When the newest heartbeat was received or passed on.
    heard: Moment,
    /// When the last heartbeat was received, with what it says of the store.
    heard_directly: Moment,
    /// Whether the peer was live at the last check.
    was_live: bool,
    leaving: bool,
    reads: bool,
    /// Services whose endpoints the peer can't connect to.
    unreachable: BTreeSet<ServiceId>,
    revisions: Revisions,
    reader_key: u64,
}

impl Peer {
    /// Returns the key of this incarnation.
    const fn key(&self) -> u64 {
        self.reader_key ^ self.incarnation
    }

    /// Returns whether the peer accepts clients and has read a configuration and endpoints.
    const fn serves(&self) -> bool {
        !self.leaving && self.revisions.config > 0 && self.revisions.endpoints > 0
    }
}

/// An address to send heartbeats to, learned from its instance or from other peers.
#[derive(Debug, Clone)]
struct Contact {
    /// Failure domain; `None` only for a seed.
    domain: Option<DomainId>,
    /// When the address was last announced.
    last_announced: Moment,
    /// Key that ranks the address against others for one endpoint.
    key: u64,
}

impl Contact {
    fn new(address: SocketAddr, domain: Option<&DomainId>, last_announced: Moment) -> Self {
        Self { domain: domain.cloned(), last_announced, key: hash_key(&address.to_string()) }
    }
}

/// Table of the peer instances that serve routes, built from their heartbeats.
///
/// There is no central list of instances: each heartbeat may carry the sender's addresses and those
/// of a few others, so an instance that has one peer's address finds all peers within a few
/// heartbeats, with or without the platform.
#[derive(Debug)]
pub struct FleetView {
    own_id: InstanceId,
    reader_key: u64,
    address_key: u64,
    own_addresses: InstanceAddresses,
    peers: BTreeMap<InstanceId, Peer>,
    /// Peers by the key of their incarnation.
    keys: BTreeMap<u64, InstanceId>,
    fresh: FreshPeers,
    contacts: BTreeMap<SocketAddr, Contact>,
    seeds: BTreeSet<SocketAddr>,
    /// Whether this instance is one of the seeds.
    is_seed: bool,
    /// Whether this instance can't reach the endpoints of some service.
    is_cut_off: bool,
    /// Contacts in the same failure domain.
    near: BTreeSet<SocketAddr>,
    near_position: usize,
    far_position: usize,
    newcomer_position: usize,
}

impl FleetView {
    /// Creates the view of an instance that has only its seed addresses.
    pub fn new(
        own_id: &InstanceId,
        own_addresses: &InstanceAddresses,
        seeds: &[SocketAddr],
    ) -> Self {
        let is_seed = seeds.contains(&own_addresses.beacon);
        let seeds: BTreeSet<SocketAddr> =
            seeds.iter().copied().filter(|a| *a != own_addresses.beacon).collect();
        let seed = |a: &SocketAddr| (*a, Contact::new(*a, None, Moment::ZERO));
        let address_key = hash_key(&own_addresses.beacon.to_string());
        // Instances that started together would otherwise all send to the same peers in each turn.
        let first_position = usize::try_from(address_key >> 32).unwrap_or(0);
        Self {
            own_id: own_id.clone(),
            reader_key: hash_key(own_id.as_str()),
            address_key,
            own_addresses: own_addresses.clone(),
            peers: BTreeMap::new(),
            keys: BTreeMap::new(),
            fresh: FreshPeers::default(),
            contacts: seeds.iter().map(seed).collect(),
            seeds,
            is_seed,
            is_cut_off: false,
            near: BTreeSet::new(),
            near_position: first_position,
            far_position: first_position,
            newcomer_position: first_position,
        }
    }

    /// Processes a heartbeat; returns whether it was newer than the last one of its sender.
    pub fn receive_heartbeat(&mut self, beacon: &FleetBeacon, now: Moment) -> bool {
        if beacon.instance == self.own_id {
            return false;
        }
        if let Some(introduction) = &beacon.introduction {
            self.add_contacts(&introduction.contacts, now);
        }
        let old = self.peers.get(&beacon.instance);
        // Incarnations are wall-clock times, and the clock may have been set back before the peer
        // restarted. Once the stored incarnation is silent, any incarnation is accepted.
        let is_stale = old.is_some_and(|p| {
            self.is_heard(p, now)
                && (p.incarnation, p.sequence) >= (beacon.incarnation, beacon.sequence)
        });
        if is_stale {
            return false;
        }
        let introduction = beacon.introduction.as_ref().map(|introduction| &introduction.sender);
        let known = old.filter(|p| p.incarnation == beacon.incarnation).map(|p| &p.addresses);
        // The addresses of this peer are unknown until its next introduction, which follows soon.
        let Some(addresses) = introduction.or(known).cloned() else { return false };
        let reader_key =
            old.map_or_else(|| hash_key(beacon.instance.as_str()), |known| known.reader_key);
        let same = old.filter(|known| known.incarnation == beacon.incarnation);
        let (newest_sequence, heard) = same.map_or((0, now), |p| (p.newest_sequence, p.heard));
        let peer = Peer {
            addresses,
            incarnation: beacon.incarnation,
            sequence: beacon.sequence,
            newest_sequence,
            heard,
            heard_directly: now,
            was_live: old.is_some_and(|p| p.was_live),
            leaving: beacon.leaving,
            reads: beacon.reads,
            unreachable: beacon.unreachable.iter().cloned().collect(),
            revisions: beacon.revisions,
            reader_key,
        };
        self.add_contact(peer.addresses.beacon, &peer.addresses.domain, now);
        let key = peer.key();
        self.peers.insert(beacon.instance.clone(), peer);
        self.keys.insert(key, beacon.instance.clone());
        self.note_heard(HeardPeer(key, beacon.sequence), true, now);
        for heard in &beacon.heard {
            self.note_heard(*heard, false, now);
        }
        true
    }

    /// Adds or refreshes addresses that a peer announced.
    pub fn add_contacts(&mut self, contacts: &Contacts, now: Moment) {
        for (domain, addresses) in contacts {
            for address in addresses {
                self.add_contact(*address, domain, now);
            }
        }
    }

    fn add_contact(&mut self, address: SocketAddr, domain: &DomainId, now: Moment) {
        if let Some(contact) = self.contacts.get_mut(&address) {
            contact.last_announced = now;
            contact.domain = Some(domain.clone());
        } else if address != self.own_addresses.beacon && self.contacts.len() < MAX_CONTACTS {
            self.contacts.insert(address, Contact::new(address, Some(domain), now));
        }
        if self.contacts.contains_key(&address) {
            if *domain == self.own_addresses.domain {
                self.near.insert(address);
            } else {
                self.near.remove(&address);
            }
        }
    }

    /// Returns the number of live peers, and how many of them serve: they accept clients and have
    /// read a configuration and endpoints.
    pub fn serving_counts(&self, now: Moment) -> (usize, usize) {
        let live = self.peers.values().filter(|p| self.is_heard(p, now));
        (live.clone().count(), live.filter(|p| p.serves()).count())
    }

    /// Returns the number of live peers, and those that were live at the last check and have gone
    /// silent since.
    pub fn check_silence(&mut self, now: Moment) -> (usize, Vec<InstanceId>) {
        let (near_timeout, far_timeout) = (self.near_timeout(), self.far_timeout());
        let (mut live_count, mut silent) = (0, Vec::new());
        for (name, peer) in &mut self.peers {
            let is_near = peer.addresses.domain == self.own_addresses.domain;
            let timeout = if is_near { near_timeout } else { far_timeout };
            let is_live = now.since(peer.heard) <= timeout;
            if peer.was_live && !is_live {
                silent.push(name.clone());
            }
            peer.was_live = is_live;
            live_count += usize::from(is_live);
        }
        (live_count, silent)
    }

    /// Removes peers that have been silent too long to count for limits, and addresses that were
    /// not announced for as long, which may belong to another program by then.
    ///
    /// The seeds are kept: an instance that was partitioned from all others for longer would
    /// otherwise have no address left to send heartbeats to, would get none either, and would stay
    /// isolated for good.
    pub fn remove_silent(&mut self, now: Moment) {
        let member_timeout = self.member_timeout();
        self.peers.retain(|_, peer| now.since(peer.heard) <= member_timeout);
        let peers = &self.peers;
        self.keys.retain(|key, name| peers.get(name).is_some_and(|p| p.key() == *key));
        let seeds = &self.seeds;
        self.contacts
            .retain(|a, c| now.since(c.last_announced) <= member_timeout || seeds.contains(a));
        let contacts = &self.contacts;
        self.near.retain(|a| contacts.contains_key(a));
    }

    /// Returns the silence after which a peer is left out when limits are divided. In a fleet so
    /// large that a peer's turn comes rarely, this is the silence after which the peer is not
    /// offered to clients.
    fn member_timeout(&self) -> Duration {
        MEMBER_TIMEOUT.max(self.far_timeout())
    }

    /// Returns whether this instance is one of those that all begin with.
    pub const fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Returns whether this instance knows any address of another one.
    pub fn has_contacts(&self) -> bool {
        !self.contacts.is_empty()
    }

    /// Returns whether the peer's last heartbeat is recent enough.
    pub fn is_live(&self, instance: &InstanceId, now: Moment) -> bool {
        self.peers.get(instance).is_some_and(|p| self.is_heard(p, now))
    }

    /// Lists the peers whose last heartbeat is recent enough.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &InstanceId> {
        self.peers.iter().filter(move |(_, p)| self.is_heard(p, now)).map(|(i, _)| i)
    }

    /// Sets whether this instance can't reach the endpoints of some service.
    pub const fn set_cut_off(&mut self, is_cut_off: bool) {
        self.is_cut_off = is_cut_off;
    }

    /// Lists the addresses for clients to connect to: instances in the client's failure domain if
    /// there are enough.
    ///
    /// Instances that can't reach some endpoints serve through their peers, which takes longer, and
    /// are left out while there are enough others.
    ///
    /// Traffic between failure domains costs more and is slower. If only a few instances are in the
    /// domain, their common failure would leave the client without any address that works.
    pub fn entries(
        &self,
        near: Option<&DomainId>,
        is_leaving: bool,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let own = (!is_leaving).then_some((&self.own_addresses, self.is_cut_off));
        let live = self.peers.values().filter(|p| self.is_heard(p, now) && !p.leaving);
        let serving =
            own.into_iter().chain(live.map(|p| (&p.addresses, !p.unreachable.is_empty())));
        let (cut_off, connected): (Vec<_>, Vec<_>) = serving.partition(|(_, is_cut)| *is_cut);
        let mut all: Vec<&InstanceAddresses> = connected.into_iter().map(|(a, _)| a).collect();
        if all.len() < MIN_NEARBY_ENTRIES {
            all.extend(cut_off.into_iter().map(|(a, _)| a));
        }
        let is_near = |addresses: &&&InstanceAddresses| near == Some(&addresses.domain);
        let nearby: Vec<SocketAddr> = all.iter().filter(is_near).map(|s| s.client).collect();
        if nearby.len() >= MIN_NEARBY_ENTRIES {
            nearby
        } else {
            all.iter().map(|s| s.client).collect()
        }
    }

    /// Counts the instances among which limits are divided, including this one: peers that were
    /// heard from and peers known from announcements.
    ///
    /// In a large fleet it takes many heartbeat turns to hear from every peer. In a fleet of 300
    /// instances that started together, each had heard from 100 after the first seconds, so all
    /// together would have used three times the limit.
    pub fn instance_count(&self, now: Moment) -> usize {
        let known = 1 + self.known_contacts(now).count();
        if now.since_start() < STARTUP_PERIOD { known.max(ASSUMED_INSTANCES) } else { known }
    }

    /// The moment from which on this instance knows its peers, from their heartbeats.
    pub const SETTLED: Moment = Moment::new(STARTUP_PERIOD);

    /// Lists the contacts that were recently heard from or announced.
    fn known_contacts(&self, now: Moment) -> impl Iterator<Item = &Contact> {
        let member_timeout = self.member_timeout();
        self.contacts.values().filter(move |c| now.since(c.last_announced) <= member_timeout)
    }

    /// Returns the rank of this instance among all known instances for one endpoint. Ranks differ
    /// between endpoints. They are based on addresses, which are known before the first heartbeat
    /// of a peer.
    ///
    /// The rank is computed ten times a second for each cold endpoint, so keys are precomputed per
    /// address and endpoint and ordered by their exclusive or. With a hash of each pair, a day of
    /// 100 instances and 1,000 endpoints took 177 processor seconds instead of 138.
    pub fn rank(&self, endpoint: &EndpointId, now: Moment) -> usize {
        let key = hash_key(endpoint.as_str());
        let own_key = self.address_key ^ key;
        self.known_contacts(now).filter(|c| c.key ^ key < own_key).count()
    }

    /// Returns the addresses of a few recently heard peers for an introduction.
    pub fn introduced_contacts(&self, now: Moment) -> Contacts {
        let live = self.peers.values().filter(|p| self.is_heard(p, now));
        let all: Vec<&InstanceAddresses> = live.map(|p| &p.addresses).collect();
        let mut contacts = Contacts::new();
        for i in 0..all.len().min(MAX_INTRODUCED_PEERS) {
            let addresses = all[(self.far_position + i) % all.len()];
            contacts.entry(addresses.domain.clone()).or_default().push(addresses.beacon);
        }
        contacts
    }
}

/// Hashes a name to a key that is the same on all instances.
fn hash_key(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let prefix: [u8; 8] = std::array::from_fn(|i| hash.as_bytes()[i]);
    u64::from_be_bytes(prefix)
}
