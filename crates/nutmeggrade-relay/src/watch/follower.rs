//! Lists and watches one kind of object.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::PlatformError;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::store::Watched;
use rand::RngExt;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::fleet_sync;
use crate::node::Node;
use crate::watch::apply;

/// How long the store holds a watch back. A connection that has gone silent is noticed only when
/// its answer is overdue; peers' heartbeats tell earlier if there was news.
const HELD: Duration = Duration::from_secs(4);
/// First wait after a call that failed.
const FIRST_WAIT: Duration = Duration::from_millis(150);
/// Longest wait between two calls while the store can't be read. Calls are counted by the platform,
/// and a second is within every time in which changes have to be in force.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// Time after an outage in which entries that vanish may have lapsed with the store.
const LAPSES: Duration = Duration::from_secs(3);

/// Starts to follow every kind of object.
pub fn start(node: &Arc<Node>) -> Vec<JoinHandle<()>> {
    let follower = |kind| Follower { node: Arc::clone(node), kind, failures: 0, back: None };
    Kind::ALL.into_iter().map(|kind| tokio::spawn(follower(kind).run())).collect()
}

/// Lists and watches one kind of object.
struct Follower {
    node: Arc<Node>,
    kind: Kind,
    failures: u32,
    back: Option<Moment>,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let result = if self.node.follow.track(self.kind).is_known() {
                self.watch().await
            } else {
                self.list().await
            };
            match result {
                Ok(()) => self.succeeded(),
                Err(error) => self.failed(&error).await,
            }
        }
    }

    async fn list(&self) -> Result<(), PlatformError> {
        let snapshot = self.node.store.list(self.kind).await?;
        apply::listing(&self.node, self.kind, &snapshot, self.is_after_outage());
        self.node.follow.track(self.kind).note(snapshot.revision, true);
        Ok(())
    }

    async fn watch(&self) -> Result<(), PlatformError> {
        let track = self.node.follow.track(self.kind);
        let held = tokio::select! {
            result = self.node.store.watch(self.kind, track.read(), HELD) => Some(result?),
            () = track.nudge.notified() => None,
        };
        // A peer has read further, so the watch is late or silent: ask for what there is.
        let watched = match held {
            Some(watched) => watched,
            None => self.node.store.watch(self.kind, track.read(), Duration::ZERO).await?,
        };
        match watched {
            Watched::Changes(snapshot) => {
                let is_news = !snapshot.objects.is_empty();
                apply::changes(&self.node, self.kind, &snapshot, self.is_after_outage());
                track.note(snapshot.revision, is_news);
                Ok(())
            }
            Watched::HistoryGone => {
                tracing::info!(event = "history_gone", kind = self.kind.name());
                self.list().await
            }
        }
    }

    /// Says whether entries that vanish may have lapsed with the store.
    fn is_after_outage(&self) -> bool {
        let is_soon = |back| self.node.now().since(back) <= LAPSES;
        self.failures > 0 || self.back.is_some_and(is_soon)
    }

    fn succeeded(&mut self) {
        self.count("ok");
        if self.failures > 0 {
            self.back = Some(self.node.now());
        }
        self.failures = 0;
        if self.node.follow.track(self.kind).set_away(false) {
            tracing::info!(event = "store_back", kind = self.kind.name());
        }
    }

    async fn failed(&mut self, error: &PlatformError) {
        self.count("failed");
        self.failures += 1;
        if self.node.follow.track(self.kind).set_away(true) {
            tracing::warn!(event = "store_away", kind = self.kind.name(), error = %error);
        }
        fleet_sync::catch_up(&self.node).await;
        let most = FIRST_WAIT.saturating_mul(1 << self.failures.min(4)).min(LONGEST_WAIT);
        // Spread, or all instances call in the same moment when the store is back.
        let wait = most.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::select! {
            () = sleep(wait) => {}
            () = self.node.follow.track(self.kind).nudge.notified() => {
                fleet_sync::catch_up(&self.node).await;
                sleep(FIRST_WAIT).await;
            }
        }
    }

    fn count(&self, end: &str) {
        self.node.metrics.store_calls.with_label_values(&[self.kind.name(), end]).inc();
    }
}
