//! Selection of the instances that read the store on behalf of the fleet.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::{FleetView, Peer};

/// Number of instances that watch the endpoints in the store on behalf of the fleet. One of them
/// may be killed or partitioned without a gap.
const READER_COUNT: usize = 2;
/// Number of instances that watch the configuration and the failure domains out of service. These
/// change rarely, so one more watch is affordable in case the store rejects some instances.
const CONFIG_READER_COUNT: usize = 3;
/// Number of instances whose heartbeats go to all peers: the current readers and the next ones in
/// rank.
const STANDBY_COUNT: usize = 6;
/// Delay for each rank behind the standby instances before an instance takes over from readers that
/// the store does not respond.
const TAKEOVER_STEP: Duration = Duration::from_millis(500);
/// Silence after which a reader of the endpoints counts as gone: three missed heartbeats. This
/// leaves its successor most of the time in which a draining endpoint may still get its last
/// request.
const READER_TIMEOUT: Duration = Duration::from_millis(800);

impl FleetView {
    /// Returns the number of instances that rank before this one as readers of the store.
    fn reader_rank(&self, now: Moment) -> usize {
        self.count_before(now, can_read)
    }

    /// Returns the rank of this instance among the readers of the store, or the number of readers if it
    /// is none.
    pub fn rank_among_readers(&self, now: Moment) -> usize {
        self.reader_rank(now).min(CONFIG_READER_COUNT)
    }

    /// Returns whether this instance watches the endpoints in the store on behalf of the fleet.
    ///
    /// Each store call is billed and counted, and in a large fleet one watch per instance would
    /// exceed the shared call limit. So a few readers watch and forward the changes. They are the
    /// first live instances with access to the store, ordered by a hash of their names, which
    /// mostly puts them in different failure domains. An instance that receives no peer's
    /// heartbeats reads for itself.
    pub fn is_reader(&self, now: Moment) -> bool {
        self.reader_rank(now) < READER_COUNT
    }

    /// Returns whether this instance watches the configuration and the failure domains out of
    /// service on behalf of the fleet.
    pub fn is_config_reader(&self, now: Moment) -> bool {
        self.reader_rank(now) < CONFIG_READER_COUNT
    }

    /// Returns whether this instance is a reader or one of the next in rank. All peers must detect
    /// its silence soon.
    pub fn is_standby(&self, now: Moment) -> bool {
        self.reader_rank(now) < STANDBY_COUNT
    }

    /// Returns how long this instance waits before it takes over from readers that the store does
    /// not respond.
    ///
    /// Each instance that cannot reach the store is passed over. Without a delay, the whole fleet
    /// would call the store within seconds of an outage.
    pub fn takeover_wait(&self, now: Moment) -> Duration {
        let rank = self.count_before(now, |p| !p.leaving);
        let behind = (rank + 1).saturating_sub(STANDBY_COUNT);
        TAKEOVER_STEP.saturating_mul(u32::try_from(behind).unwrap_or(u32::MAX))
    }

    /// Returns whether any recently heard peer can read the store.
    pub fn has_live_reader(&self, now: Moment) -> bool {
        self.recently_heard(now).any(|(_, p)| can_read(p))
    }

    /// Returns whether this instance is the first reader. The other readers only have to resend its
    /// updates where they were lost.
    pub fn is_first_reader(&self, now: Moment) -> bool {
        self.reader_rank(now) == 0
    }

    /// Returns whether this instance would be a reader if all instances could reach the store.
    /// While none can, these instances retry often and the others rarely.
    pub fn is_preferred_reader(&self, now: Moment) -> bool {
        self.count_before(now, |p| !p.leaving) < READER_COUNT
    }

    /// Returns whether any recently heard peer cannot read the store.
    pub fn has_peer_without_store(&self, now: Moment) -> bool {
        self.recently_heard(now).any(|(_, p)| !p.reads && !p.leaving)
    }

    /// Counts the matching peers that rank before this instance as readers.
    pub(super) fn count_before(&self, now: Moment, is_counted: impl Fn(&Peer) -> bool) -> usize {
        self.recently_heard(now)
            .filter(|(name, p)| is_counted(p) && self.ranks_after(name, p))
            .count()
    }

    /// Returns whether this instance ranks after the peer as a reader.
    pub(super) fn ranks_after(&self, name: &InstanceId, peer: &Peer) -> bool {
        (peer.reader_key, name) < (self.reader_key, &self.own_id)
    }

    /// Lists the peers within [`READER_TIMEOUT`], among which readers are chosen.
    pub(super) fn recently_heard(&self, now: Moment) -> impl Iterator<Item = (&InstanceId, &Peer)> {
        self.peers.iter().filter(move |(_, p)| now.since(p.heard_directly) <= READER_TIMEOUT)
    }
}

/// Returns whether the peer can read the store and is not leaving.
const fn can_read(peer: &Peer) -> bool {
    peer.reads && !peer.leaving
}
