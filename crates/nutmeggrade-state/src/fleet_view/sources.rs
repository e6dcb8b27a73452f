//! Which peer an instance asks for what it has missed.

use std::net::SocketAddr;

use nutmeggrade_core::peer::Revisions;
use nutmeggrade_core::prelude::*;

use super::{FleetView, Peer};

/// Which peers may be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Those of the same failure domain, and others if nobody there is to ask them first.
    Near,
    /// All.
    Everywhere,
}

impl FleetView {
    /// Chooses a live peer that `is_ahead`, and says whether it is in the same failure domain.
    ///
    /// Neighbours are asked first. While none of them is ahead, only the first instance of a failure domain
    /// asks another domain's, so that a change crosses between two domains once;
    /// [`Reach::Everywhere`] lifts that. `lot` is drawn, and spreads the calls.
    pub fn source(
        &self,
        is_ahead: impl Fn(&Revisions) -> bool,
        reach: Reach,
        lot: usize,
        now: Moment,
    ) -> Option<(SocketAddr, bool)> {
        let is_source = |p: &&Peer| self.is_heard(p, now) && !p.leaving && is_ahead(&p.revisions);
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            self.peers.values().filter(is_source).partition(|p| p.seat.domain == self.seat.domain);
        let is_near = !near.is_empty();
        if !is_near && reach == Reach::Near && !self.is_first_near(now) {
            return None;
        }
        let all = if is_near { near } else { far };
        let peer = all.get(lot.checked_rem(all.len())?)?;
        Some((peer.seat.control, is_near))
    }

    /// Lists where heartbeats of the instances of the same failure domain go.
    pub fn neighbours(&self) -> Vec<SocketAddr> {
        self.near.iter().copied().collect()
    }

    /// Says whether this instance is the first of its failure domain in the order in which instances
    /// read for all.
    fn is_first_near(&self, now: Moment) -> bool {
        let is_near = |p: &Peer| p.seat.domain == self.seat.domain && !p.leaving;
        let mut live = self.peers.iter().filter(|(_, p)| is_near(p) && self.is_heard(p, now));
        !live.any(|(name, p)| self.is_after(name, p))
    }
}
