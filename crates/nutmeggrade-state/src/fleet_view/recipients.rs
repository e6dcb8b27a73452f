//! Routing of heartbeats and broadcasts, and the silence after which a peer counts as gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::{Contacts, DomainPart, FleetBeacon};
use nutmeggrade_core::prelude::*;

use super::{Contact, FleetView, HEARTBEAT_INTERVAL, Peer};
use crate::rotation::next_in_rotation;

/// Base silence after which a peer is not offered to clients; the interval between its heartbeats
/// to this instance is added. It spans a few heartbeats, so that lost datagrams do not cost a
/// healthy peer its clients.
const BASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Number of heartbeat turns without a heartbeat that are tolerated.
const MAX_MISSED_TURNS: u32 = 3;
/// Fleet size up to which each heartbeat goes to all peers.
const MAX_FULL_FANOUT: usize = 16;
/// Number of peers in the sender's failure domain that each heartbeat goes to in a larger fleet, in
/// rotation.
const NEAR_FANOUT: usize = 8;
/// Number of peers in other failure domains that each heartbeat goes to in a larger fleet. Traffic
/// between failure domains is expensive: at 88 instances, with 16 peers chosen regardless of
/// domain, heartbeats were half of it. Clients are offered nearby instances, so a silent remote one
/// may be detected later.
const FAR_FANOUT: usize = 4;
/// The same where heartbeats are passed on: one that reaches a failure domain spreads there.
const PASSED_ON_FAR_FANOUT: usize = 2;
/// Maximum number of turns until each neighbour has had a heartbeat without heartbeats that are
/// passed on. In a failure domain with more instances, peers pass on whom they have heard from, so
/// that a dead instance is offered to clients for no longer than in a small domain. Without it, it
/// was offered for nine seconds among 75.
const MAX_NEAR_TURNS: usize = 4;
/// Number of neighbours that an instance hears of in a turn, directly or passed on, for sure: half
/// of what it gets on average.
const NEAR_HEARD_PER_TURN: usize = 72;
/// The same of peers in other failure domains.
const FAR_HEARD_PER_TURN: usize = 48;
/// Number of instances that one relay forwards a message to. At 300 instances, a reader's update of
/// 400 endpoints, sent to each neighbour separately, occupied its 10 Mbit/s link for four seconds.
const INSTANCES_PER_RELAY: usize = 24;
/// Maximum number of neighbours to which a sender sends changes of placed work directly. Most work
/// is placed in the sender's failure domain, and scheduling decisions that miss the last few
/// milliseconds cost time where memory is short.
const MAX_DIRECT_NEIGHBOURS: usize = 96;
/// Maximum number of addresses in the reply to a new instance; at 20 bytes each they fit into one
/// datagram.
const MAX_NEWCOMER_CONTACTS: usize = 128;
/// Maximum number of peers in a remote failure domain that are sent to directly, without a relay.
const MAX_DIRECT_REMOTE: usize = 3;
/// Number of heartbeats after which an instance has heard from its neighbours, two seconds' worth.
const STARTUP_HEARTBEATS: u64 = 8;

/// Rule by which the relays of a failure domain are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayOrder {
    /// Peers with the latest heartbeats first, as those are most likely live.
    LastHeard,
    /// Same order for all senders, so that messages of many senders can be batched.
    Common,
}

/// Recipients of a broadcast.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BroadcastRecipients {
    /// Addresses that this instance sends to directly.
    pub direct: Vec<SocketAddr>,
    /// Relays, each with the part of its failure domain that it forwards to.
    pub relays: Vec<(SocketAddr, DomainPart)>,
}

impl FleetView {
    /// Lists the recipients of the next heartbeat: all peers in a small fleet, else some of them in
    /// rotation.
    pub fn targets(&mut self) -> Vec<SocketAddr> {
        if self.contacts.len() <= MAX_FULL_FANOUT {
            return self.contacts.keys().copied().collect();
        }
        let (near, far): (Vec<SocketAddr>, Vec<SocketAddr>) =
            self.contacts.keys().copied().partition(|a| self.near.contains(a));
        let mut targets = next_in_rotation(&near, NEAR_FANOUT, &mut self.near_position);
        // A new instance may have few known neighbours; the remaining slots go to other peers.
        let far_fanout = if self.passes_on() { PASSED_ON_FAR_FANOUT } else { FAR_FANOUT };
        let far_limit = NEAR_FANOUT + far_fanout - targets.len();
        targets.extend(next_in_rotation(&far, far_limit, &mut self.far_position));
        targets
    }

    /// Lists the neighbours that are told at once that this instance has read changes: all in a small
    /// failure domain, else some in rotation, who tell others once they have fetched the changes.
    /// Told to hundreds at once, all would fetch them over one instance's link.
    pub fn announcement_targets(&mut self) -> Vec<SocketAddr> {
        let near: Vec<SocketAddr> = self.near.iter().copied().collect();
        if self.announcement_rounds() == 1 {
            return near;
        }
        next_in_rotation(&near, NEAR_FANOUT, &mut self.near_position)
    }

    /// Returns in how many rounds announcements of changes reach the failure domain.
    pub fn announcement_rounds(&self) -> u32 {
        if self.passes_on() { self.near.len().ilog(NEAR_FANOUT) + 1 } else { 1 }
    }

    /// Returns the recipients of a broadcast.
    ///
    /// Broadcasts go to all instances. Sent to each one separately, a message would cross the links
    /// between failure domains once per instance; at 88 instances that was a quarter of all bytes
    /// there. Nor can one instance send what it has read to hundreds of peers: its link saturates
    /// and the last peer gets the message seconds later. So some peers of each domain each forward
    /// it to a part of the rest. If a relay dies at that moment, its part misses the message and
    /// catches up through heartbeats.
    pub fn broadcast_recipients(
        &self,
        relay_order: RelayOrder,
        now: Moment,
    ) -> BroadcastRecipients {
        let mut domains: BTreeMap<Option<&DomainId>, Vec<SocketAddr>> = BTreeMap::new();
        for (address, contact) in &self.contacts {
            domains.entry(contact.domain.as_ref()).or_default().push(*address);
        }
        let mut recipients = BroadcastRecipients { direct: Vec::new(), relays: Vec::new() };
        for (domain, all) in domains {
            let is_near = domain == Some(&self.own_addresses.domain);
            let max_direct = match (is_near, relay_order) {
                (true, RelayOrder::LastHeard) => INSTANCES_PER_RELAY,
                (true, RelayOrder::Common) => MAX_DIRECT_NEIGHBOURS,
                (false, _) => MAX_DIRECT_REMOTE,
            };
            if domain.is_none() || all.len() <= max_direct {
                recipients.direct.extend(all);
                continue;
            }
            let relays =
                self.relays(domain, all.len().div_ceil(INSTANCES_PER_RELAY), relay_order, now);
            if relays.is_empty() {
                recipients.direct.extend(all);
                continue;
            }
            let part_count = u32::try_from(relays.len()).unwrap_or(1);
            let parts = (0..part_count).map(|part| DomainPart { part, of: part_count });
            recipients.relays.extend(relays.into_iter().zip(parts));
        }
        recipients
    }

    /// Selects peers of a failure domain as relays. Those that have only just started and have few
    /// neighbours come last.
    fn relays(
        &self,
        domain: Option<&DomainId>,
        count: usize,
        relay_order: RelayOrder,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let is_candidate =
            |p: &&Peer| Some(&p.addresses.domain) == domain && !p.leaving && self.is_heard(p, now);
        let mut all: Vec<&Peer> = self.peers.values().filter(is_candidate).collect();
        let is_new = |p: &Peer| p.sequence <= STARTUP_HEARTBEATS;
        match relay_order {
            RelayOrder::LastHeard => all.sort_by_key(|p| (is_new(p), std::cmp::Reverse(p.heard))),
            RelayOrder::Common => all.sort_by_key(|p| (is_new(p), p.reader_key)),
        }
        all.into_iter().take(count).map(|p| p.addresses.beacon).collect()
    }

    /// Returns the address of a new instance that announced few peers, and contacts for it.
    ///
    /// When a large fleet starts, each instance has only its seeds. With only the few addresses in
    /// heartbeats, it took four seconds until all had heard from the readers; meanwhile most read
    /// the store themselves, which at 88 instances was a third of the calls of a quiet minute.
    pub fn contacts_for_newcomer(
        &mut self,
        beacon: &FleetBeacon,
    ) -> Option<(SocketAddr, Contacts)> {
        let introduction = beacon.introduction.as_ref()?;
        let announced = introduction.contacts.values().map(Vec::len).sum::<usize>();
        if self.contacts.len() <= MAX_FULL_FANOUT || announced >= super::MAX_INTRODUCED_PEERS {
            return None;
        }
        let new_peer = introduction.sender.beacon;
        let known = |(a, c): (&SocketAddr, &Contact)| c.domain.clone().map(|d| (*a, d));
        let all: Vec<(SocketAddr, DomainId)> =
            self.contacts.iter().filter(|(a, _)| **a != new_peer).filter_map(known).collect();
        // Each peer that replies starts at another contact, so that the replies together cover the
        // fleet.
        let mut contacts = Contacts::new();
        for (address, domain) in
            next_in_rotation(&all, MAX_NEWCOMER_CONTACTS, &mut self.newcomer_position)
        {
            contacts.entry(domain).or_default().push(address);
        }
        Some((new_peer, contacts))
    }

    /// Lists the neighbours in one part of the failure domain, to forward a message to.
    pub fn neighbours_in_part(&self, share: DomainPart) -> Vec<SocketAddr> {
        let is_in_part =
            |address: &SocketAddr| address_hash(address) % share.of.max(1) == share.part;
        self.near.iter().copied().filter(is_in_part).collect()
    }

    /// Returns whether the peer's last heartbeat is recent enough.
    pub(super) fn is_heard(&self, peer: &Peer, now: Moment) -> bool {
        now.since(peer.heard) <= self.peer_timeout(peer)
    }

    /// Returns the silence after which a peer counts as gone. In a large fleet heartbeats rotate
    /// among the peers, so each peer receives them less often.
    fn peer_timeout(&self, peer: &Peer) -> Duration {
        if peer.addresses.domain == self.own_addresses.domain {
            self.near_timeout()
        } else {
            self.far_timeout()
        }
    }

    /// Returns the silence after which a peer in the same failure domain counts as gone.
    pub(super) fn near_timeout(&self) -> Duration {
        let near = self.near.len();
        self.timeout_for(if self.passes_on() {
            near.div_ceil(NEAR_HEARD_PER_TURN).max(MAX_NEAR_TURNS)
        } else {
            near.div_ceil(NEAR_FANOUT)
        })
    }

    /// Returns whether an address is known to be in the same failure domain.
    pub fn is_near(&self, address: &SocketAddr) -> bool {
        self.near.contains(address)
    }

    /// Returns whether heartbeats carry whom their senders have heard from.
    pub(super) fn passes_on(&self) -> bool {
        self.near.len() > NEAR_FANOUT * MAX_NEAR_TURNS
    }

    /// Returns the silence after which a peer in another failure domain counts as gone.
    pub(super) fn far_timeout(&self) -> Duration {
        let far = self.contacts.len() - self.near.len();
        self.timeout_for(if self.passes_on() {
            far.div_ceil(FAR_HEARD_PER_TURN).max(MAX_NEAR_TURNS)
        } else {
            far.div_ceil(FAR_FANOUT)
        })
    }

    fn timeout_for(&self, turns: usize) -> Duration {
        let turn_count = if self.contacts.len() <= MAX_FULL_FANOUT { 1 } else { turns };
        let turn_count = u32::try_from(turn_count).unwrap_or(u32::MAX);
        BASE_TIMEOUT
            + HEARTBEAT_INTERVAL.saturating_mul(turn_count.saturating_mul(MAX_MISSED_TURNS))
    }
}

/// Hashes an address to a number that spreads addresses evenly over the parts of a failure domain.
fn address_hash(address: &SocketAddr) -> u32 {
    let hash = blake3::hash(address.to_string().as_bytes());
    u32::from_be_bytes(std::array::from_fn(|i| hash.as_bytes()[i]))
}
