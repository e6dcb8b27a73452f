//! Passing on which peers were heard from.

use std::collections::{BTreeSet, VecDeque};

use nutmeggrade_core::peer::HeardPeer;
use nutmeggrade_core::prelude::*;

use super::FleetView;

/// Number of neighbours in a heartbeat's digest, as a divisor of all neighbours (6 means a sixth).
const NEAR_DIVISOR: usize = 6;
/// Minimum number of neighbours in a heartbeat's digest.
const MIN_NEAR_ENTRIES: usize = 32;
/// Maximum number of neighbours in a heartbeat's digest; at 13 bytes each, a heartbeat stays below
/// two kilobytes.
const MAX_NEAR_ENTRIES: usize = 128;
/// Number of peers in other failure domains in a heartbeat's digest.
const FAR_ENTRIES: usize = 16;
/// Number of neighbours in the digest of a heartbeat to another failure domain, where traffic is
/// expensive. Hundreds of instances send there, so that few entries each cover the domain.
pub const REMOTE_DIGEST_ENTRIES: usize = 8;
/// Maximum number of peers that wait to be passed on; older ones are superseded by later heartbeats.
const MAX_WAITING: usize = 128;

/// Peers of one or more failure domains that were heard from since they were last passed on.
#[derive(Debug, Default)]
struct FreshQueue {
    direct: VecDeque<u64>,
    passed_on: VecDeque<u64>,
}

impl FreshQueue {
    fn add(&mut self, key: u64, is_direct: bool) {
        let queue = if is_direct { &mut self.direct } else { &mut self.passed_on };
        queue.push_back(key);
        if queue.len() > MAX_WAITING {
            queue.pop_front();
        }
    }

    /// Removes all, and returns each once: those heard directly first, as few others have heard
    /// them, and of the others the latest.
    fn take(&mut self) -> Vec<u64> {
        let Self { direct, passed_on } = std::mem::take(self);
        let mut seen = BTreeSet::new();
        let all = direct.into_iter().rev().chain(passed_on.into_iter().rev());
        all.filter(|key| seen.insert(*key)).collect()
    }
}

/// Peers that were heard from since they were last passed on.
#[derive(Debug, Default)]
pub(super) struct FreshPeers {
    near: FreshQueue,
    far: FreshQueue,
}

impl FleetView {
    /// Returns the peers that were heard from most recently, to be passed on with a heartbeat; none
    /// in a fleet where each peer's heartbeats arrive often.
    ///
    /// A heartbeat goes to a few peers only, so that its cost does not grow with the fleet. With what
    /// they pass on, each instance still hears of every peer several times before it would count as
    /// gone.
    pub fn take_digest(&mut self) -> Vec<HeardPeer> {
        let (near, far) = (self.fresh.near.take(), self.fresh.far.take());
        if !self.passes_on() {
            return Vec::new();
        }
        let near_entries =
            (self.near.len() / NEAR_DIVISOR).clamp(MIN_NEAR_ENTRIES, MAX_NEAR_ENTRIES);
        let mut digest = self.heard_peers(near, near_entries);
        digest.extend(self.heard_peers(far, FAR_ENTRIES));
        digest
    }

    fn heard_peers(&self, keys: Vec<u64>, limit: usize) -> Vec<HeardPeer> {
        let heard = |key| {
            let peer = self.peers.get(self.keys.get(&key)?)?;
            Some(HeardPeer(key, peer.newest_sequence))
        };
        keys.into_iter().filter_map(heard).take(limit).collect()
    }

    /// Records a peer's newest heartbeat, received directly or passed on.
    pub(super) fn note_heard(
        &mut self,
        HeardPeer(key, sequence): HeardPeer,
        is_direct: bool,
        now: Moment,
    ) {
        let Some(peer) = self.keys.get(&key).and_then(|name| self.peers.get_mut(name)) else {
            return;
        };
        // An earlier incarnation's heartbeats are still passed on for a while.
        if peer.key() == key && sequence > peer.newest_sequence {
            peer.newest_sequence = sequence;
            peer.heard = now;
            // Addresses that were not announced for long are dropped.
            if let Some(contact) = self.contacts.get_mut(&peer.addresses.beacon) {
                contact.last_announced = now;
            }
            let is_near = peer.addresses.domain == self.own_addresses.domain;
            let queue = if is_near { &mut self.fresh.near } else { &mut self.fresh.far };
            queue.add(key, is_direct);
        }
    }
}
