//! Which instances judge roll-outs.

use std::net::SocketAddr;

use nutmeggrade_core::prelude::*;

use super::{FleetView, Peer};

/// Instances that get what all count of a roll-out: the one that judges, and the next ones in its place.
const JUDGES: usize = 3;

impl FleetView {
    /// Says whether this instance judges roll-outs. It is the first one in the order in which instances read
    /// for all, whether the store answers it or not: a bad version is reverted during an outage too.
    pub fn judges_first(&self, now: Moment) -> bool {
        self.before(now, |p| !p.leaving) == 0
    }

    /// Lists the peers that count when limits are divided: all that were heard in the last half a minute, but
    /// those that have left.
    pub fn members(&self, now: Moment) -> impl Iterator<Item = &InstanceId> {
        let has_left = move |p: &Peer| p.leaving && !self.is_heard(p, now);
        self.peers.iter().filter(move |(_, p)| !has_left(p)).map(|(name, _)| name)
    }

    /// Says whether this instance hears most of them, itself counted.
    pub fn has_quorum(&self, now: Moment) -> bool {
        let heard = 1 + self.live(now).count();
        heard * 2 > 1 + self.members(now).count()
    }

    /// Lists where peers are reached that judge roll-outs or are the next to do so.
    pub fn judges(&self, now: Moment) -> Vec<SocketAddr> {
        let mut order: Vec<_> = self
            .just_heard(now)
            .filter(|(_, p)| !p.leaving)
            .map(|(name, p)| ((p.turn_key, name), p.seat.beacon))
            .collect();
        order.sort_unstable();
        let before = |(key, _): &&(_, SocketAddr)| *key < (self.turn_key, &self.own);
        let own = order.iter().take_while(before).count();
        let others = if own < JUDGES { JUDGES - 1 } else { JUDGES };
        order.into_iter().take(others).map(|(_, beacon)| beacon).collect()
    }
}
