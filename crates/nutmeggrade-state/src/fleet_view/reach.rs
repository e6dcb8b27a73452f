//! Which instances are sent what, and how soon their silence says something.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::{Contacts, DomainPart, FleetBeacon};
use nutmeggrade_core::prelude::*;

use super::{Contact, FleetView, PERIOD, Peer};

/// Silence after which a peer is no longer named to clients, beside that of the turns in which peers
/// send to each other: a few heartbeats, so that lost ones don't take a healthy peer's clients away.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Turns that may pass without a heartbeat.
const TURNS: u32 = 3;
/// Peers that a heartbeat goes to as long as there are no more.
const FANOUT: usize = 16;
/// Peers of its own failure domain that a heartbeat goes to at least in a larger fleet, in turn.
const NEAR: usize = 8;
/// Peers of other failure domains that it goes to there. Bytes between failure domains are dear: at 88
/// instances, with 16 peers whatever their place, heartbeats were half of all of them. Clients are named
/// instances near by, so that those far away may be found silent later.
const FAR: usize = 4;
/// Turns after which each neighbour has had a heartbeat. In a failure domain with more than thirty
/// instances a heartbeat goes to more neighbours, so that one that dies is named to clients for no longer
/// than in a small one; with eight whatever their number, it was named for nine seconds among 75.
const MOST_TURNS: usize = 4;
/// Instances that one hands a message on to. At 300 instances a reader's news of 400 endpoints, sent to each
/// neighbour by itself, took its link of ten megabits four seconds.
const PART: usize = 24;
/// Neighbours that are told by each sender itself what it has placed. Work is mostly placed in its own failure
/// domain, and a choice that does not know of others a few milliseconds old costs time where memory is short.
const MOST_DIRECT: usize = 96;
/// Addresses that a newcomer is told at once; with twenty bytes each they fit into a datagram.
const WELCOMED: usize = 128;
/// Peers of another failure domain from which on one of them hands on to the others.
const FEW: usize = 3;
/// Heartbeats of an instance after which it has heard its neighbours: two seconds' worth.
const FRESH: u64 = 8;

/// Which peers forward a message to their failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Forwarders {
    /// Those that were heard last, which most surely live.
    LastHeard,
    /// The same for all senders, so that what many send can be forwarded together.
    Common,
}

/// Who gets a message that is for everybody.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Audience {
    /// Those that get it from this instance.
    pub direct: Vec<SocketAddr>,
    /// Those that hand it on, each to a part of its failure domain.
    pub relays: Vec<(SocketAddr, DomainPart)>,
}

impl FleetView {
    /// Lists where to send a heartbeat: to everybody in a small fleet, else to some in turn.
    pub fn targets(&mut self) -> Vec<SocketAddr> {
        if self.contacts.len() <= FANOUT {
            return self.contacts.keys().copied().collect();
        }
        let (near, far): (Vec<SocketAddr>, Vec<SocketAddr>) =
            self.contacts.keys().copied().partition(|a| self.near.contains(a));
        let count = near_count(near.len());
        let mut targets = in_turn(&near, count, &mut self.near_turn);
        // A newcomer does not know yet who is near.
        let rest = count + FAR - targets.len();
        targets.extend(in_turn(&far, rest, &mut self.far_turn));
        targets
    }

    /// Returns who gets a message that is for everybody.
    ///
    /// What instances tell each other at once goes to all of them. Sent to each by itself it crosses
    /// the lines between failure domains as often as there are instances; at 88 of them that was a
    /// quarter of all bytes there. And one instance alone can't send what it has read to hundreds: its
    /// link is full, and the last hear it seconds later. Some of each domain hand it on to a part of the
    /// rest each. If one dies in that moment its part misses the message, and heartbeats make it good.
    pub fn everybody(&self, forwarders: Forwarders, now: Moment) -> Audience {
        let mut domains: BTreeMap<Option<&DomainId>, Vec<SocketAddr>> = BTreeMap::new();
        for (address, contact) in &self.contacts {
            domains.entry(contact.domain.as_ref()).or_default().push(*address);
        }
        let mut audience = Audience { direct: Vec::new(), relays: Vec::new() };
        for (domain, all) in domains {
            let is_near = domain == Some(&self.seat.domain);
            let most = match (is_near, forwarders) {
                (true, Forwarders::LastHeard) => PART,
                (true, Forwarders::Common) => MOST_DIRECT,
                (false, _) => FEW,
            };
            if domain.is_none() || all.len() <= most {
                audience.direct.extend(all);
                continue;
            }
            let relays = self.relays(domain, all.len().div_ceil(PART), forwarders, now);
            if relays.is_empty() {
                audience.direct.extend(all);
                continue;
            }
            let of = u32::try_from(relays.len()).unwrap_or(1);
            let parts = (0..of).map(|part| DomainPart { part, of });
            audience.relays.extend(relays.into_iter().zip(parts));
        }
        audience
    }

    /// Chooses peers of a failure domain that hand a message on there, first of all not those that have
    /// only just started and know few neighbours.
    fn relays(
        &self,
        domain: Option<&DomainId>,
        count: usize,
        forwarders: Forwarders,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let fits =
            |p: &&Peer| Some(&p.seat.domain) == domain && !p.leaving && self.is_heard(p, now);
        let mut all: Vec<&Peer> = self.peers.values().filter(fits).collect();
        let is_fresh = |p: &Peer| p.sequence <= FRESH;
        match forwarders {
            Forwarders::LastHeard => all.sort_by_key(|p| (is_fresh(p), std::cmp::Reverse(p.heard))),
            Forwarders::Common => all.sort_by_key(|p| (is_fresh(p), p.turn_key)),
        }
        all.into_iter().take(count).map(|p| p.seat.beacon).collect()
    }

    /// Lists instances for a peer that has just introduced itself and knows few.
    ///
    /// All instances of a large fleet start together, and each knows only those that it begins with. By
    /// heartbeats alone, which hand a few addresses on, it took four seconds until all had heard those
    /// that read the store for all; meanwhile most read for themselves, and at 88 instances that was a
    /// third of a quiet minute's calls.
    pub fn welcome(&mut self, beacon: &FleetBeacon) -> Option<(SocketAddr, Contacts)> {
        let introduction = beacon.introduction.as_ref()?;
        let told = introduction.others.values().map(Vec::len).sum::<usize>();
        if self.contacts.len() <= FANOUT || told >= super::HANDED_ON {
            return None;
        }
        let newcomer = introduction.sender.beacon;
        let known = |(a, c): (&SocketAddr, &Contact)| c.domain.clone().map(|d| (*a, d));
        let all: Vec<(SocketAddr, DomainId)> =
            self.contacts.iter().filter(|(a, _)| **a != newcomer).filter_map(known).collect();
        // Each who welcomes it begins elsewhere, so that together they name everybody.
        let mut others = Contacts::new();
        for (address, domain) in in_turn(&all, WELCOMED, &mut self.told_turn) {
            others.entry(domain).or_default().push(address);
        }
        Some((newcomer, others))
    }

    /// Lists the peers of the same failure domain that are in a part of it, to hand a message on to.
    pub fn part_of_neighbours(&self, share: DomainPart) -> Vec<SocketAddr> {
        let is_in = |address: &SocketAddr| lot(address) % share.of.max(1) == share.part;
        self.near.iter().copied().filter(is_in).collect()
    }

    /// Says whether a peer was heard lately.
    pub(super) fn is_heard(&self, peer: &Peer, now: Moment) -> bool {
        now.since(peer.heard) <= self.silence(peer)
    }

    /// Returns the silence after which a peer counts as gone. Instances of a large fleet send to each
    /// other in turns, so that each hears the others less often.
    fn silence(&self, peer: &Peer) -> Duration {
        if peer.seat.domain == self.seat.domain {
            self.near_silence()
        } else {
            self.longest_silence()
        }
    }

    fn near_silence(&self) -> Duration {
        let near = self.near.len();
        self.silence_of(near.div_ceil(near_count(near)))
    }

    /// Returns the silence after which a peer of another failure domain counts as gone.
    pub(super) fn longest_silence(&self) -> Duration {
        let far = self.contacts.len() - self.near.len();
        self.silence_of(far.div_ceil(FAR))
    }

    fn silence_of(&self, turns: usize) -> Duration {
        let turns = if self.contacts.len() <= FANOUT { 1 } else { turns };
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        SILENCE + PERIOD.saturating_mul(turns.saturating_mul(TURNS))
    }
}

/// Returns how many neighbours a heartbeat goes to.
fn near_count(near: usize) -> usize {
    NEAR.max(near.div_ceil(MOST_TURNS))
}

/// Returns a number that spreads addresses evenly over the parts of a failure domain.
fn lot(address: &SocketAddr) -> u32 {
    let hash = blake3::hash(address.to_string().as_bytes());
    u32::from_be_bytes(std::array::from_fn(|i| hash.as_bytes()[i]))
}

/// Takes the next `most` of a list, and the first again after the last.
fn in_turn<T: Clone>(all: &[T], most: usize, turn: &mut usize) -> Vec<T> {
    let count = all.len().min(most);
    let start = *turn;
    *turn = start.wrapping_add(count);
    (0..count).map(|i| all[(start + i) % all.len()].clone()).collect()
}
