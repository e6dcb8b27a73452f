//! Conditions on which a follower waits before it calls the store.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_state::fleet_view::SourceScope;
use nutmeggrade_wire::kinds::Kind;
use rand::RngExt;
use tokio::time::sleep;

use super::{Follower, PEER_CHANGES_WAIT, ROLE_CHECK_INTERVAL};
use crate::fleet_sync;
use crate::tables::lock;

/// Time after which every instance may query peers of other failure domains.
const REMOTE_PEERS_AFTER: Duration = Duration::from_millis(300);
/// Time after which the store is called for changes that no peer has supplied.
const PEERS_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two requests to peers.
const PEER_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Time after the start by which the readers' heartbeats have arrived: eight of their intervals.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

impl Follower {
    /// Waits until the readers are known. Until then each instance would act as a reader, and at 81
    /// instances the watches of a start were half of an idle minute's calls.
    pub(super) async fn await_readers(&self) {
        let left = DISCOVERY_TIME.saturating_sub(self.node.now().since_start());
        let state = self.node.read_state.of(self.kind);
        if left.is_zero() || state.is_behind() {
            return;
        }
        tokio::select! {
            () = sleep(left) => {}
            () = state.peer_ahead.notified() => sleep(PEER_CHANGES_WAIT).await,
        }
    }

    /// Waits until a peer supplies the objects, or until this instance has to list them as a
    /// reader. Rollouts aren't needed right after the start.
    pub(super) async fn await_objects(&mut self) {
        let node = Arc::clone(&self.node);
        let state = node.read_state.of(self.kind);
        while !state.is_loaded() {
            let (now, since_start) = (node.now(), node.now().since_start());
            let must_list = since_start >= DISCOVERY_TIME && self.is_reader(now);
            if must_list || since_start >= DISCOVERY_TIME * 2 {
                return;
            }
            if state.is_behind() && self.catch_up().await {
                return;
            }
            tokio::select! {
                () = sleep(ROLE_CHECK_INTERVAL) => {}
                () = state.peer_ahead.notified() => {}
            }
        }
    }

    /// Waits until a peer is ahead, or until this instance may have become a reader. A peer's
    /// changes mostly arrive with its heartbeat; only missing ones are requested.
    pub(super) async fn await_peer_changes(&self) {
        tokio::select! {
            () = self.node.read_state.of(self.kind).peer_ahead.notified() =>
                sleep(PEER_CHANGES_WAIT).await,
            () = sleep(ROLE_CHECK_INTERVAL) => {}
        }
    }

    /// Fetches from peers what they have read beyond this instance; returns whether it has caught
    /// up.
    pub(super) async fn catch_up(&self) -> bool {
        let start = self.node.now();
        loop {
            let waited = self.node.now().since(start);
            let scope = if waited < REMOTE_PEERS_AFTER {
                SourceScope::Near
            } else {
                SourceScope::Everywhere
            };
            if fleet_sync::catch_up(&self.node, self.kind, scope).await {
                return true;
            }
            if waited > PEERS_TIMEOUT {
                return false;
            }
            let pause = PEER_RETRY_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5));
            sleep(pause).await;
            if !self.node.read_state.of(self.kind).is_behind() {
                return true;
            }
        }
    }

    /// Waits while the store is unavailable for endpoints: one probing follower is enough to detect
    /// recovery.
    pub(super) async fn await_endpoints_recovery(&self) {
        if self.kind == Kind::Endpoints {
            return;
        }
        let read_state = &self.node.read_state;
        while read_state.of(Kind::Endpoints).is_unavailable() {
            tokio::select! {
                () = sleep(ROLE_CHECK_INTERVAL) => {}
                () = read_state.of(self.kind).peer_ahead.notified() => {
                    fleet_sync::catch_up(&self.node, self.kind, SourceScope::Everywhere).await;
                }
            }
        }
    }

    /// Waits until a peer can read the store again, plus jitter, so that not all instances call at
    /// once.
    pub(super) async fn await_recovery(&self) {
        while !lock(&self.node.tables).fleet.has_live_reader(self.node.now()) {
            sleep(ROLE_CHECK_INTERVAL).await;
        }
        let jitter = ROLE_CHECK_INTERVAL.mul_f64(rand::rng().random_range(0.0..2.0));
        sleep(jitter).await;
    }
}
