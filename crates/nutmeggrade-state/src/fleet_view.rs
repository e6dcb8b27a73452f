//! The instances that serve routes, as this one hears them.

mod judges;
mod reach;
mod sources;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::{Contacts, FleetBeacon, InstanceAddresses, Revisions};
use nutmeggrade_core::prelude::*;

pub use reach::{Audience, Forwarders};
pub use sources::Reach;

/// Instances in a client's failure domain from which on it is told of no others.
const ENOUGH: usize = 3;
/// Time between two heartbeats of an instance. What peers have placed is told at once, so that this
/// only bounds how soon silence is noticed.
pub const PERIOD: Duration = Duration::from_millis(250);
/// Instances that follow the endpoints in the store for all; one may be killed or cut off without a gap.
const READERS: usize = 2;
/// Instances that follow the configuration and the failure domains that are out. They change seldom, so
/// that one more can be afforded for the case that the store turns some away.
const CONFIG_READERS: usize = 3;
/// Instances whose heartbeats go to everybody: those that read for all and the next ones in turn.
const STANDBY: usize = 6;
/// Time between two instances that read in place of others whom the store does not answer.
const TAKEOVER_STEP: Duration = Duration::from_millis(500);
/// Silence after which an instance that followed the endpoints for others is taken for gone: three
/// of its heartbeats. Whoever takes over still has most of the time in which a leaving endpoint may
/// get its last request.
const READER_SILENCE: Duration = Duration::from_millis(800);
/// Silence after which a peer no longer counts when limits are divided. One that is only cut off
/// goes on sending its part, and it may take that long to learn that it is alone.
const ROSTER: Duration = Duration::from_secs(30);
/// Time after a start in which limits are divided by at least [`UNHEARD`]: heartbeats of all peers
/// have come by then.
const SETTLING: Duration = Duration::from_secs(2);
/// Instances that are assumed while a fresh one has not heard its peers.
const UNHEARD: usize = 12;
/// Peers' addresses that a heartbeat hands on; with them a newcomer that knows one peer soon hears
/// all of them.
const HANDED_ON: usize = 8;
/// Most addresses that are remembered, a few times the largest deployment.
const MOST_CONTACTS: usize = 2_048;

#[derive(Debug, Clone)]
struct Peer {
    seat: InstanceAddresses,
    incarnation: u64,
    sequence: u64,
    heard: Moment,
    leaving: bool,
    reads: bool,
    revisions: Revisions,
    turn_key: u64,
}

/// An address that heartbeats go to, as others told it or its instance itself.
#[derive(Debug, Clone)]
struct Contact {
    /// Its failure domain; only that of an address to begin with is unknown.
    domain: Option<DomainId>,
    /// When it was last told.
    told: Moment,
    /// Its key in the order in which instances take turns at an endpoint.
    key: u64,
}

impl Contact {
    fn new(address: SocketAddr, domain: Option<&DomainId>, told: Moment) -> Self {
        Self { domain: domain.cloned(), told, key: key_of(&address.to_string()) }
    }
}

/// The instances that serve routes, as this one hears them.
///
/// There is no list of instances to read: each heartbeat says where its sender is reached and hands
/// on a few others, so that those who know one know all within a few heartbeats, with the platform
/// or without it.
#[derive(Debug)]
pub struct FleetView {
    own: InstanceId,
    turn_key: u64,
    place_key: u64,
    seat: InstanceAddresses,
    peers: BTreeMap<InstanceId, Peer>,
    contacts: BTreeMap<SocketAddr, Contact>,
    seeds: BTreeSet<SocketAddr>,
    /// The contacts of the same failure domain.
    near: BTreeSet<SocketAddr>,
    near_turn: usize,
    far_turn: usize,
    told_turn: usize,
}

impl FleetView {
    /// Makes the view of an instance that knows only where to begin.
    pub fn new(own: &InstanceId, seat: &InstanceAddresses, seeds: &[SocketAddr]) -> Self {
        let seeds: BTreeSet<SocketAddr> =
            seeds.iter().copied().filter(|a| *a != seat.beacon).collect();
        let seed = |a: &SocketAddr| (*a, Contact::new(*a, None, Moment::ZERO));
        Self {
            own: own.clone(),
            turn_key: key_of(own.as_str()),
            place_key: key_of(&seat.beacon.to_string()),
            seat: seat.clone(),
            peers: BTreeMap::new(),
            contacts: seeds.iter().map(seed).collect(),
            seeds,
            near: BTreeSet::new(),
            near_turn: 0,
            far_turn: 0,
            told_turn: 0,
        }
    }

    /// Takes a heartbeat; says whether it was fresh.
    pub fn hear(&mut self, beacon: &FleetBeacon, now: Moment) -> bool {
        if beacon.instance == self.own {
            return false;
        }
        if let Some(introduction) = &beacon.introduction {
            self.meet_all(&introduction.others, now);
        }
        let old = self.peers.get(&beacon.instance);
        // Incarnations come from the time of day, which may have been set back before the peer's new
        // life; once its old life is silent, any life is the newest.
        let is_old = old.is_some_and(|p| {
            self.is_heard(p, now)
                && (p.incarnation, p.sequence) >= (beacon.incarnation, beacon.sequence)
        });
        if is_old {
            return false;
        }
        let introduction = beacon.introduction.as_ref().map(|introduction| &introduction.sender);
        let same_life = old.filter(|p| p.incarnation == beacon.incarnation).map(|p| &p.seat);
        // A peer that was never introduced is not reached yet; its next introduction comes soon.
        let Some(seat) = introduction.or(same_life).cloned() else { return false };
        let peer = Peer {
            seat,
            incarnation: beacon.incarnation,
            sequence: beacon.sequence,
            heard: now,
            leaving: beacon.leaving,
            reads: beacon.reads,
            revisions: beacon.revisions,
            turn_key: key_of(beacon.instance.as_str()),
        };
        self.meet(peer.seat.beacon, &peer.seat.domain, now);
        self.peers.insert(beacon.instance.clone(), peer);
        true
    }

    /// Takes addresses that a peer told.
    pub fn meet_all(&mut self, contacts: &Contacts, now: Moment) {
        for (domain, addresses) in contacts {
            for address in addresses {
                self.meet(*address, domain, now);
            }
        }
    }

    fn meet(&mut self, address: SocketAddr, domain: &DomainId, now: Moment) {
        if let Some(contact) = self.contacts.get_mut(&address) {
            contact.told = now;
            contact.domain = Some(domain.clone());
        } else if address != self.seat.beacon && self.contacts.len() < MOST_CONTACTS {
            self.contacts.insert(address, Contact::new(address, Some(domain), now));
        }
        if self.contacts.contains_key(&address) {
            if *domain == self.seat.domain {
                self.near.insert(address);
            } else {
                self.near.remove(&address);
            }
        }
    }

    /// Forgets peers that have been silent for so long that they don't count any more, and addresses
    /// that nobody has told for as long, which may be another program's by now.
    ///
    /// The addresses to begin with are kept: an instance that was cut off from all others for longer
    /// would have nobody left to send heartbeats to, nor anybody it, and stay alone for good.
    pub fn forget(&mut self, now: Moment) {
        let roster = self.roster();
        self.peers.retain(|_, peer| now.since(peer.heard) <= roster);
        let seeds = &self.seeds;
        self.contacts.retain(|a, c| now.since(c.told) <= roster || seeds.contains(a));
        let contacts = &self.contacts;
        self.near.retain(|a| contacts.contains_key(a));
    }

    /// Returns the silence after which a peer no longer counts when limits are divided. In a fleet so
    /// large that its turn comes seldom, it is the time after which it would be named to no client.
    fn roster(&self) -> Duration {
        ROSTER.max(self.longest_silence())
    }

    /// Says whether a peer was heard lately.
    pub fn is_live(&self, instance: &InstanceId, now: Moment) -> bool {
        self.peers.get(instance).is_some_and(|p| self.is_heard(p, now))
    }

    /// Lists peers that were heard lately.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &InstanceId> {
        self.peers.iter().filter(move |(_, p)| self.is_heard(p, now)).map(|(i, _)| i)
    }

    /// Says whether this instance follows the endpoints in the store for all.
    ///
    /// Each call to the store is paid for and counted, and in a large fleet one watch an instance uses
    /// up what all together may call. A few instances read and hand on; which ones follows from
    /// hashes of their names, so that they are mostly in different failure domains, among those that
    /// were heard lately and whom the store answers. An instance that hears nobody reads for itself.
    pub fn is_reader(&self, now: Moment) -> bool {
        self.before(now, can_read) < READERS
    }

    /// Says whether this instance follows the configuration and the failure domains that are out for all.
    pub fn is_config_reader(&self, now: Moment) -> bool {
        self.before(now, can_read) < CONFIG_READERS
    }

    /// Says whether this instance reads for all or is among the next to do so. Its silence has to be noticed
    /// by everybody soon.
    pub fn stands_by(&self, now: Moment) -> bool {
        self.before(now, can_read) < STANDBY
    }

    /// Returns how long this instance waits before it reads for all in place of others whom the store does
    /// not answer.
    ///
    /// Each instance that finds the store away is passed over. Without a wait the whole fleet would ask it
    /// within seconds of an outage.
    pub fn takeover_wait(&self, now: Moment) -> Duration {
        let rank = self.before(now, |p| !p.leaving);
        let behind = (rank + 1).saturating_sub(STANDBY);
        TAKEOVER_STEP.saturating_mul(u32::try_from(behind).unwrap_or(u32::MAX))
    }

    /// Says whether a peer that was heard lately can read the store.
    pub fn is_read(&self, now: Moment) -> bool {
        self.just_heard(now).any(|(_, p)| can_read(p))
    }

    /// Says whether this instance is the first of those that read for all, whose news the others
    /// only have to repeat where they were lost.
    pub fn is_first_reader(&self, now: Moment) -> bool {
        self.before(now, can_read) == 0
    }

    /// Says whether this instance would read for all if the store answered everybody alike. While it
    /// answers nobody, these ask it again and again, and the others seldom.
    pub fn leads(&self, now: Moment) -> bool {
        self.before(now, |p| !p.leaving) < READERS
    }

    /// Says whether a peer that was heard lately can't read the store.
    pub fn is_store_away(&self, now: Moment) -> bool {
        self.just_heard(now).any(|(_, p)| !p.reads && !p.leaving)
    }

    /// Says whether this instance is the first of those that live, in an order that differs between
    /// endpoints.
    pub fn is_first_for(&self, endpoint: &EndpointId, now: Moment) -> bool {
        let own = place_for(self.own.as_str(), endpoint);
        self.live(now).all(|peer| place_for(peer.as_str(), endpoint) > own)
    }

    /// Counts the peers before this instance in the order in which instances read for all.
    fn before(&self, now: Moment, counts: impl Fn(&Peer) -> bool) -> usize {
        self.just_heard(now).filter(|(name, p)| counts(p) && self.is_after(name, p)).count()
    }

    /// Says whether this instance comes after a peer in that order.
    fn is_after(&self, name: &InstanceId, peer: &Peer) -> bool {
        (peer.turn_key, name) < (self.turn_key, &self.own)
    }

    /// Lists the peers whose silence would be noticed if they read for all.
    fn just_heard(&self, now: Moment) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        self.peers.iter().filter(move |(_, p)| now.since(p.heard) <= READER_SILENCE)
    }

    /// Lists where clients may connect: instances in the client's failure domain if enough are there.
    ///
    /// Bytes between failure domains cost more and take longer. With few instances near by, their
    /// common failure would leave a client without any that it knows.
    pub fn entries(
        &self,
        near: Option<&DomainId>,
        is_leaving: bool,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let own = (!is_leaving).then_some(&self.seat);
        let live = self.peers.values().filter(|p| self.is_heard(p, now) && !p.leaving);
        let all: Vec<&InstanceAddresses> = own.into_iter().chain(live.map(|p| &p.seat)).collect();
        let is_near = |seat: &&&InstanceAddresses| near == Some(&seat.domain);
        let near_by: Vec<SocketAddr> = all.iter().filter(is_near).map(|s| s.client).collect();
        if near_by.len() >= ENOUGH { near_by } else { all.iter().map(|s| s.client).collect() }
    }

    /// Counts the instances that limits are divided by, this one included: those that were heard, and
    /// those that others told of.
    ///
    /// In a large fleet it takes many turns until everybody was heard. A fleet of three hundred that
    /// started together had heard a hundred of them after the first seconds, and all together would have
    /// used three times what is allowed.
    pub fn sharers(&self, now: Moment) -> usize {
        let known = 1 + self.known(now).count();
        if now.since_start() < SETTLING { known.max(UNHEARD) } else { known }
    }

    /// Lists those that were heard or told of lately.
    fn known(&self, now: Moment) -> impl Iterator<Item = &Contact> {
        let roster = self.roster();
        self.contacts.values().filter(move |c| now.since(c.told) <= roster)
    }

    /// Returns this instance's place among all that are known for one endpoint; places differ between
    /// endpoints. It goes by addresses, which are known of those not heard yet too.
    ///
    /// The place is asked for ten times a second for each cold endpoint, so each address and each endpoint
    /// has one key, and the order is that of their exclusive or. With a hash of both for each pair a day of
    /// 100 instances before 1,000 endpoints took 177 processor seconds in place of 138.
    pub fn rank(&self, endpoint: &EndpointId, now: Moment) -> usize {
        let key = key_of(endpoint.as_str());
        let own = self.place_key ^ key;
        self.known(now).filter(|c| c.key ^ key < own).count()
    }

    /// Lists where a few peers are reached that were heard lately.
    pub fn others(&self, now: Moment) -> Contacts {
        let live = self.peers.values().filter(|p| self.is_heard(p, now));
        let all: Vec<&InstanceAddresses> = live.map(|p| &p.seat).collect();
        let mut others = Contacts::new();
        for i in 0..all.len().min(HANDED_ON) {
            let seat = all[(self.far_turn + i) % all.len()];
            others.entry(seat.domain.clone()).or_default().push(seat.beacon);
        }
        others
    }
}

/// Says whether a peer stays and the store answers it.
const fn can_read(peer: &Peer) -> bool {
    peer.reads && !peer.leaving
}

/// Returns a number that is drawn from a name, the same on all instances.
fn key_of(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let first: [u8; 8] = std::array::from_fn(|i| hash.as_bytes()[i]);
    u64::from_be_bytes(first)
}

/// Returns the place of an instance for an endpoint, in an order that differs between endpoints.
fn place_for(instance: &str, endpoint: &EndpointId) -> [u8; 32] {
    let text = [instance, endpoint.as_str()].join("\0");
    *blake3::hash(text.as_bytes()).as_bytes()
}
