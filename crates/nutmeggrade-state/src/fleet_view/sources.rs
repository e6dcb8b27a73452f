//! Selection of the peer to fetch missed updates from.

use std::net::SocketAddr;

use nutmeggrade_core::peer::Revisions;
use nutmeggrade_core::prelude::*;

use super::{FleetView, Peer};

/// Which peers may be selected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceScope {
    /// Peers in the same failure domain; other peers only if this instance is the first of its
    /// domain.
    Near,
    /// All peers.
    Everywhere,
}

impl FleetView {
    /// Selects a live peer that `is_ahead`; returns its address and whether it is in the same
    /// failure domain.
    ///
    /// Neighbours are preferred. While none of them is ahead, only the first instance of a failure
    /// domain fetches from another domain, so that an update crosses between two domains once.
    /// [`SourceScope::Everywhere`] lifts this rule. `random` is a random number that spreads the
    /// calls.
    pub fn source(
        &self,
        is_ahead: impl Fn(&Revisions) -> bool,
        scope: SourceScope,
        random: usize,
        now: Moment,
    ) -> Option<(SocketAddr, bool)> {
        let is_source = |p: &&Peer| self.is_heard(p, now) && !p.leaving && is_ahead(&p.revisions);
        let (near, far): (Vec<&Peer>, Vec<&Peer>) = self
            .peers
            .values()
            .filter(is_source)
            .partition(|p| p.addresses.domain == self.own_addresses.domain);
        let is_near = !near.is_empty();
        if !is_near && scope == SourceScope::Near && !self.is_first_in_domain(now) {
            return None;
        }
        let all = if is_near { near } else { far };
        let peer = all.get(random.checked_rem(all.len())?)?;
        Some((peer.addresses.control, is_near))
    }

    /// Returns whether this instance ranks first as a reader in its failure domain.
    fn is_first_in_domain(&self, now: Moment) -> bool {
        let is_neighbour = |p: &Peer| p.addresses.domain == self.own_addresses.domain && !p.leaving;
        let mut live = self.peers.iter().filter(|(_, p)| is_neighbour(p) && self.is_heard(p, now));
        !live.any(|(name, p)| self.ranks_after(name, p))
    }
}
