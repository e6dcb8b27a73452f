//! Conditions on which a follower waits before it calls the store.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_state::fleet_view::SourceScope;
use nutmeggrade_wire::kinds::Kind;
use rand::RngExt;
use tokio::time::sleep;

use super::{Follower, PEER_CHANGES_WAIT, ROLE_CHECK_INTERVAL};
use crate::fleet_sync::{self, SyncOutcome};
use crate::tables::lock;

/// Time in which changes reach the peers of a failure domain in each round of announcements. After
/// it, every instance may query peers of other failure domains.
const SPREAD_ROUND_TIME: Duration = Duration::from_millis(300);
/// Time after which the store is called for changes that no peer has supplied, in such rounds.
const STORE_AFTER_ROUNDS: u32 = 2;
/// The same while the peers that are ahead are busy sending the changes to others.
const STORE_AFTER_BUSY_ROUNDS: u32 = 4;
/// Time between two requests to peers.
const PEER_RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Longest time between two requests to peers that are busy.
const MAX_BUSY_PAUSE: Duration = Duration::from_millis(500);
/// Time after the start by which the readers' heartbeats have arrived: eight of their intervals.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Time after the start in which an instance that others begin with gets a peer's objects rather
/// than list them itself.
const SEED_WAIT: Duration = Duration::from_millis(300);
/// Time after which an instance lists the objects itself although others should have.
const SUPPLY_TIMEOUT: Duration = Duration::from_secs(6);
/// The same while the peers that have the objects are busy sending them to others.
const BUSY_SUPPLY_TIMEOUT: Duration = Duration::from_secs(15);

/// Pauses between requests to peers. They double while peers are busy, since each refusal takes
/// processor time from an instance that sends what all wait for.
struct PeerRetry {
    pause: Duration,
}

impl PeerRetry {
    const fn new() -> Self {
        Self { pause: PEER_RETRY_INTERVAL }
    }

    async fn wait(&mut self, outcome: SyncOutcome) {
        self.pause = match outcome {
            SyncOutcome::Busy => (self.pause * 2).min(MAX_BUSY_PAUSE),
            SyncOutcome::Behind | SyncOutcome::CaughtUp => PEER_RETRY_INTERVAL,
        };
        let pause = self.pause.mul_f64(rand::rng().random_range(0.5..1.5));
        sleep(pause).await;
    }
}

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

    /// Waits until a peer supplies a kind that takes many pages to list; returns false if this
    /// instance has to list it.
    ///
    /// Only the instances that others begin with list it at once, or the readers if those are gone.
    /// From them it spreads like a broadcast: each instance that has it sends it to a few others at
    /// a time.
    pub(super) async fn await_supply(&mut self) -> bool {
        let node = Arc::clone(&self.node);
        let state = node.read_state.of(self.kind);
        let start = node.now();
        let mut retry = PeerRetry::new();
        while !state.is_loaded() {
            let now = node.now();
            let waited = now.since(start);
            let mut outcome = SyncOutcome::Behind;
            if state.is_behind() {
                let scope = if waited < DISCOVERY_TIME {
                    SourceScope::Near
                } else {
                    SourceScope::Everywhere
                };
                outcome = fleet_sync::catch_up(&node, self.kind, scope).await;
            } else if self.must_list(waited, now) {
                return false;
            }
            let is_busy = outcome == SyncOutcome::Busy;
            if waited > if is_busy { BUSY_SUPPLY_TIMEOUT } else { SUPPLY_TIMEOUT } {
                return state.is_loaded();
            }
            retry.wait(outcome).await;
        }
        true
    }

    /// Returns whether this instance lists a kind that no peer has read yet.
    fn must_list(&self, waited: Duration, now: Moment) -> bool {
        let is_alone = !lock(&self.node.tables).fleet.has_contacts();
        let is_seed = lock(&self.node.tables).fleet.is_seed();
        is_alone
            || (is_seed && waited >= SEED_WAIT)
            || (now.since_start() >= DISCOVERY_TIME && self.is_reader(now))
    }

    /// Waits until this instance becomes the first reader. As a backup it holds watches for much
    /// longer, and one that has gone silent would keep changes from the whole fleet for as long.
    pub(super) async fn await_first_rank(&self) {
        if self.is_first_reader() {
            return std::future::pending().await;
        }
        while !self.is_first_reader() {
            sleep(ROLE_CHECK_INTERVAL).await;
        }
    }

    /// Waits until a peer is ahead, or until this instance may have become a reader. A peer's
    /// changes of endpoints mostly arrive with its heartbeat; only missing ones are requested.
    pub(super) async fn await_peer_changes(&self) {
        let wait = if self.kind == Kind::Endpoints { PEER_CHANGES_WAIT } else { Duration::ZERO };
        tokio::select! {
            () = self.node.read_state.of(self.kind).peer_ahead.notified() => sleep(wait).await,
            () = sleep(ROLE_CHECK_INTERVAL) => {}
        }
    }

    /// Fetches from peers what they have read beyond this instance; returns whether it has caught
    /// up.
    pub(super) async fn catch_up(&self) -> bool {
        let start = self.node.now();
        let rounds = lock(&self.node.tables).fleet.announcement_rounds();
        let spread_time = SPREAD_ROUND_TIME * rounds;
        let mut retry = PeerRetry::new();
        loop {
            let waited = self.node.now().since(start);
            let scope =
                if waited < spread_time { SourceScope::Near } else { SourceScope::Everywhere };
            let outcome = fleet_sync::catch_up(&self.node, self.kind, scope).await;
            let limit = match outcome {
                SyncOutcome::CaughtUp => return true,
                SyncOutcome::Busy => STORE_AFTER_BUSY_ROUNDS,
                SyncOutcome::Behind => STORE_AFTER_ROUNDS,
            };
            if waited > spread_time * limit {
                return false;
            }
            retry.wait(outcome).await;
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
