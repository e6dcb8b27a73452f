//! What a follower waits for before it calls the store.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_state::fleet_view::SourceScope;
use nutmeggrade_wire::kinds::Kind;
use rand::RngExt;
use tokio::time::sleep;

use super::{Follower, NEWS_WAIT, TURN};
use crate::fleet_sync;
use crate::tables::lock;

/// Time after which peers of other failure domains are asked by all.
const FAR_AFTER: Duration = Duration::from_millis(300);
/// Time after which the store is asked for what no peer has handed on.
const PEERS_FIRST: Duration = Duration::from_millis(600);
/// Time between two questions to peers.
const ASK_AGAIN: Duration = Duration::from_millis(60);
/// Time after the start by which the peers that read for all have been heard: eight of their heartbeats.
const SETTLED: Duration = Duration::from_secs(2);

impl Follower {
    /// Waits until it is known who reads for all. Before that each instance takes itself for one of
    /// them, and at 81 instances the watches of a start were half of a quiet minute's calls.
    pub(super) async fn settle(&self) {
        let left = SETTLED.saturating_sub(self.node.now().since_start());
        let track = self.node.follow.track(self.kind);
        if left.is_zero() || track.is_behind() {
            return;
        }
        tokio::select! {
            () = sleep(left) => {}
            () = track.nudge.notified() => sleep(NEWS_WAIT).await,
        }
    }

    /// Waits until a peer tells which objects there are, or until it is this instance's turn to list them.
    /// Nothing depends on an instance knowing the orders of roll-outs from its first moment.
    pub(super) async fn learn(&mut self) {
        let node = Arc::clone(&self.node);
        let track = node.follow.track(self.kind);
        while !track.is_known() {
            let (now, since_start) = (node.now(), node.now().since_start());
            let is_turn = since_start >= SETTLED && self.is_reader(now);
            if is_turn || since_start >= SETTLED * 2 {
                return;
            }
            if track.is_behind() && self.catch_up().await {
                return;
            }
            tokio::select! {
                () = sleep(TURN) => {}
                () = track.nudge.notified() => {}
            }
        }
    }

    /// Waits until a peer has read further, or until it may be this instance's turn to read. What was
    /// read by a peer mostly comes with its news; only what did not is asked for.
    pub(super) async fn wait_for_news(&self) {
        tokio::select! {
            () = self.node.follow.track(self.kind).nudge.notified() => sleep(NEWS_WAIT).await,
            () = sleep(TURN) => {}
        }
    }

    /// Asks peers for what they have read further; says whether this instance has caught up.
    pub(super) async fn catch_up(&self) -> bool {
        let begun = self.node.now();
        loop {
            let waited = self.node.now().since(begun);
            let reach =
                if waited < FAR_AFTER { SourceScope::Near } else { SourceScope::Everywhere };
            if fleet_sync::catch_up(&self.node, self.kind, reach).await {
                return true;
            }
            if waited > PEERS_FIRST {
                return false;
            }
            let pause = ASK_AGAIN.mul_f64(rand::rng().random_range(0.5..1.5));
            sleep(pause).await;
            if !self.node.follow.track(self.kind).is_behind() {
                return true;
            }
        }
    }

    /// Waits for as long as the store does not answer for endpoints: one question says as much as three
    /// whether it is away.
    pub(super) async fn wait_for_endpoints(&self) {
        if self.kind == Kind::Endpoints {
            return;
        }
        let follow = &self.node.follow;
        while follow.track(Kind::Endpoints).is_away() {
            tokio::select! {
                () = sleep(TURN) => {}
                () = follow.track(self.kind).nudge.notified() => {
                    fleet_sync::catch_up(&self.node, self.kind, SourceScope::Everywhere).await;
                }
            }
        }
    }

    /// Waits until a peer can read the store again, and a little longer, so that not all call at once.
    pub(super) async fn until_back(&self) {
        while !lock(&self.node.tables).fleet.has_live_reader(self.node.now()) {
            sleep(TURN).await;
        }
        let spread = TURN.mul_f64(rand::rng().random_range(0.0..2.0));
        sleep(spread).await;
    }
}
