//! Which instances are sent what, and how soon their silence says something.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::FleetBeacon;
use nutmeggrade_core::prelude::*;

use super::{FleetView, PERIOD, Peer};

/// Silence after which a peer is no longer named to clients, beside that of the turns in which peers
/// send to each other: a few heartbeats, so that lost ones don't take a healthy peer's clients away.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Turns that may pass without a heartbeat.
const TURNS: u32 = 3;
/// Peers that a heartbeat goes to as long as there are no more.
const FANOUT: usize = 16;
/// Peers of its own failure domain that a heartbeat goes to in a larger fleet, in turn. The cost of an
/// instance does not grow with the fleet.
const NEAR: usize = 8;
/// Peers of other failure domains that it goes to there. Bytes between failure domains are dear: at 88
/// instances, with 16 peers whatever their place, heartbeats were half of all of them. Clients are named
/// instances near by, so that those far away may be found silent later.
const FAR: usize = 4;
/// Addresses that a newcomer is told at once; with twenty bytes each they fit into a datagram.
const WELCOMED: usize = 128;
/// Peers of another failure domain from which on one of them hands on to the others.
const FEW: usize = 3;
/// Heartbeats of an instance after which it has heard its neighbours: two seconds' worth.
const FRESH: u64 = 8;

/// Who gets a message that is for everybody.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Audience {
    /// Those that get it from this instance.
    pub direct: Vec<SocketAddr>,
    /// One instance of each other failure domain, which hands it on there.
    pub relays: Vec<SocketAddr>,
}

impl FleetView {
    /// Lists where to send a heartbeat: to everybody in a small fleet, else to some in turn.
    pub fn targets(&mut self) -> Vec<SocketAddr> {
        if self.addresses.len() <= FANOUT {
            return self.addresses.iter().copied().collect();
        }
        let (near, far): (Vec<SocketAddr>, Vec<SocketAddr>) =
            self.addresses.iter().partition(|a| self.near.contains(a));
        let mut targets = in_turn(&near, NEAR, &mut self.near_turn);
        // A newcomer does not know yet who is near.
        let rest = NEAR + FAR - targets.len();
        targets.extend(in_turn(&far, rest, &mut self.far_turn));
        targets
    }

    /// Returns who gets a message that is for everybody.
    ///
    /// What instances tell each other at once goes to all of them. Sent to each by itself it crosses
    /// the lines between failure domains as often as there are instances; at 88 of them that was a
    /// quarter of all bytes there. One of each domain hands it on to the rest: the one that was heard
    /// last, which most surely lives, and not one that has only just started and knows few neighbours.
    /// If it dies in that moment its domain misses the message, and heartbeats make it good.
    pub fn everybody(&self, now: Moment) -> Audience {
        let mut domains: BTreeMap<&DomainId, Vec<&Peer>> = BTreeMap::new();
        for peer in self.peers.values().filter(|p| self.is_heard(p, now)) {
            if peer.seat.domain != self.seat.domain {
                domains.entry(&peer.seat.domain).or_default().push(peer);
            }
        }
        let mut relays = Vec::new();
        let mut told = BTreeSet::new();
        for all in domains.values().filter(|all| all.len() > FEW) {
            let settled = all.iter().filter(|p| !p.leaving && p.sequence > FRESH);
            if let Some(relay) = settled.max_by_key(|p| p.heard) {
                relays.push(relay.seat.beacon);
                told.extend(all.iter().map(|p| p.seat.beacon));
            }
        }
        let direct = self.addresses.iter().copied().filter(|a| !told.contains(a)).collect();
        Audience { direct, relays }
    }

    /// Lists instances for a peer that has just introduced itself and knows few.
    ///
    /// All instances of a large fleet start together, and each knows only those that it begins with. By
    /// heartbeats alone, which hand a few addresses on, it took four seconds until all had heard those
    /// that read the store for all; meanwhile most read for themselves, and at 88 instances that was a
    /// third of a quiet minute's calls.
    pub fn welcome(&self, beacon: &FleetBeacon) -> Option<(SocketAddr, Vec<SocketAddr>)> {
        let intro = beacon.intro.as_ref()?;
        if self.addresses.len() <= FANOUT || intro.others.len() >= super::HANDED_ON {
            return None;
        }
        let newcomer = intro.seat.beacon;
        let others = self.addresses.iter().copied().filter(|a| *a != newcomer);
        Some((newcomer, others.take(WELCOMED).collect()))
    }

    /// Takes the addresses that a peer told this newcomer.
    pub fn meet_all(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            self.add(*address);
        }
    }

    /// Lists the peers of the same failure domain, to hand a message on to.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        self.near.iter().copied().collect()
    }

    /// Says whether a peer was heard lately.
    pub(super) fn is_heard(&self, peer: &Peer, now: Moment) -> bool {
        now.since(peer.heard) <= self.silence(peer)
    }

    /// Returns the silence after which a peer counts as gone. Instances of a large fleet send to each
    /// other in turns, so that each hears the others less often.
    fn silence(&self, peer: &Peer) -> Duration {
        let (all, near) = (self.addresses.len(), self.near.len());
        let turns = match peer.seat.domain == self.seat.domain {
            _ if all <= FANOUT => 1,
            true => near.div_ceil(NEAR),
            false => all.saturating_sub(near).div_ceil(FAR),
        };
        let turns = u32::try_from(turns).unwrap_or(u32::MAX);
        SILENCE + PERIOD.saturating_mul(turns.saturating_mul(TURNS))
    }
}

/// Takes the next `most` of a list, and the first again after the last.
fn in_turn(all: &[SocketAddr], most: usize, turn: &mut usize) -> Vec<SocketAddr> {
    let count = all.len().min(most);
    let start = *turn;
    *turn = start.wrapping_add(count);
    (0..count).map(|i| all[(start + i) % all.len()]).collect()
}
