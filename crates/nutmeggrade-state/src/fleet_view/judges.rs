//! Selection of the instances that judge rollouts.

use std::net::SocketAddr;

use nutmeggrade_core::prelude::*;

use super::{FleetView, Peer};

/// Number of instances that receive the rollout counts: the judge and its next replacements.
const JUDGE_COUNT: usize = 3;

impl FleetView {
    /// Returns whether this instance judges rollouts. The judge is the first instance in reader
    /// order, with or without access to the store, so that a bad version is reverted during an
    /// outage too.
    pub fn is_judge(&self, now: Moment) -> bool {
        self.count_before(now, |p| !p.leaving) == 0
    }

    /// Lists the peers that count when limits are divided: all that were heard from in the last 30
    /// seconds, except those that have left.
    pub fn members(&self, now: Moment) -> impl Iterator<Item = &InstanceId> {
        let has_left = move |p: &Peer| p.leaving && !self.is_heard(p, now);
        self.peers.iter().filter(move |(_, p)| !has_left(p)).map(|(name, _)| name)
    }

    /// Returns whether this instance has heard from a majority of the members since it became the
    /// judge, itself included.
    ///
    /// An instance that is cut off becomes a judge sooner than the silence of the others counts.
    /// Their earlier heartbeats must not let it proceed beside the judge of the majority.
    pub fn has_quorum(&self, judge_since: Moment, now: Moment) -> bool {
        let is_counted = |p: &&Peer| p.heard >= judge_since && self.is_heard(p, now);
        let heard = 1 + self.peers.values().filter(is_counted).count();
        heard * 2 > 1 + self.members(now).count()
    }

    /// Lists the heartbeat addresses of the peers that judge rollouts or are next in line.
    pub fn judges(&self, now: Moment) -> Vec<SocketAddr> {
        let mut ranked: Vec<_> = self
            .recently_heard(now)
            .filter(|(_, p)| !p.leaving)
            .map(|(name, p)| ((p.reader_key, name), p.addresses.beacon))
            .collect();
        ranked.sort_unstable();
        let ranks_before = |(key, _): &&(_, SocketAddr)| *key < (self.reader_key, &self.own_id);
        let own_rank = ranked.iter().take_while(ranks_before).count();
        let count = if own_rank < JUDGE_COUNT { JUDGE_COUNT - 1 } else { JUDGE_COUNT };
        ranked.into_iter().take(count).map(|(_, beacon)| beacon).collect()
    }
}
