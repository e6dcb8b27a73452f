//! Lists and watches one kind of object.

mod waiting;

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::PlatformError;
use nutmeggrade_state::fleet_view::SourceScope;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::store::Watched;
use rand::RngExt;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::fleet_sync;
use crate::node::Node;
use crate::tables::lock;
use crate::watch::apply;
use crate::watch::doubt::Doubt;
use crate::watch::follow::LAPSES;
use crate::watch::pacing::{self, Asker};
use crate::watch::store_calls::{CallReason, StoreCalls};

/// Time that the news of a peer get to come before they are asked for. They are sent together with the
/// heartbeat that tells of them.
const NEWS_WAIT: Duration = Duration::from_millis(60);
/// Time after which the answer to a watch that is no longer held back is overdue. The store answers in
/// milliseconds, and waiting for its answer as long as for that of a slow one would use up the notice
/// of engines that leave meanwhile.
const OVERDUE: Duration = Duration::from_millis(250);
/// Time between looks whether it is this instance's turn to read.
const TURN: Duration = Duration::from_millis(200);

/// Starts to follow every kind of object.
pub fn start(node: &Arc<Node>) -> Vec<JoinHandle<()>> {
    let follower = |kind| Follower {
        node: Arc::clone(node),
        kind,
        failures: 0,
        back: None,
        reader_since: None,
    };
    let follows = |kind: &Kind| *kind != Kind::Rollouts || node.follows_rollouts();
    Kind::ALL.into_iter().filter(follows).map(|k| tokio::spawn(follower(k).run())).collect()
}

/// Lists and watches one kind of object.
struct Follower {
    node: Arc<Node>,
    kind: Kind,
    failures: u32,
    back: Option<Moment>,
    /// Since when it is this instance's turn to read for all.
    reader_since: Option<Moment>,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let node = Arc::clone(&self.node);
            let track = node.follow.track(self.kind);
            if track.is_known() {
                self.settle().await;
            } else if self.kind == Kind::Rollouts {
                self.learn().await;
            }
            // Whoever could not read the store asks it again, or would take it for away for ever.
            if track.is_known() && !track.is_away() && self.is_told() {
                if !track.is_behind() {
                    self.wait_for_news().await;
                    continue;
                }
                if self.catch_up().await {
                    continue;
                }
            }
            let result = if track.is_known() { self.watch().await } else { self.list().await };
            match result {
                Ok(()) => self.succeeded(),
                Err(error) => self.failed(&error).await,
            }
        }
    }

    /// Says whether others read this kind of object for this instance.
    fn is_told(&mut self) -> bool {
        let now = self.node.now();
        if !self.is_reader(now) {
            self.reader_since = None;
            return true;
        }
        let since = *self.reader_since.get_or_insert(now);
        now.since(since) < lock(&self.node.tables).fleet.takeover_wait(now)
    }

    /// Says whether this instance reads this kind of object for all. Where the news of a few readers
    /// would do, each watch of another instance costs a call for every change and for every time that
    /// it is held back: with one for each kind at 81 instances a quiet minute took 1,860 calls.
    fn is_reader(&self, now: Moment) -> bool {
        let fleet = &lock(&self.node.tables).fleet;
        match self.kind {
            Kind::Endpoints | Kind::Rollouts => fleet.is_reader(now),
            Kind::Config | Kind::Evacuations => fleet.is_config_reader(now),
        }
    }

    async fn list(&self) -> Result<(), PlatformError> {
        let (store, track) = (StoreCalls::new(&self.node), self.node.follow.track(self.kind));
        // All instances of a fleet may start together: three hundred before three thousand endpoints ask
        // for 18,300 pages, three seconds' worth of all that the store may be asked. Pages that may lag are
        // not held against that. Later listings come after the history is gone, when no watch goes on
        // from an older page.
        let is_first = !track.is_known();
        let reason = if is_first { CallReason::First } else { CallReason::Relist };
        let mut snapshot = store.list(self.kind, is_first, reason).await?;
        let mut rest = None;
        if snapshot.revision < snapshot.newest {
            let since = snapshot.revision;
            match store.watch(self.kind, since, Duration::ZERO, CallReason::Rest).await? {
                Watched::Changes(changes) => rest = Some(changes),
                Watched::HistoryGone => {
                    snapshot = store.list(self.kind, false, CallReason::Relist).await?;
                }
            }
        }
        apply::listing(&self.node, self.kind, &snapshot, self.is_after_outage());
        let mut read = snapshot.revision;
        if let Some(rest) = &rest {
            apply::rest(&self.node, self.kind, rest, self.is_after_outage());
            read = rest.revision;
        }
        // A first listing holds nothing that peers who listed a moment earlier have missed; told as
        // news it would have each of them ask for it again. A later one may stand for removals.
        // Of roll-outs most instances list none themselves and have to hear that there is nothing to know.
        let is_news = !is_first || self.kind == Kind::Rollouts;
        let news = if is_news { snapshot.revision } else { snapshot.last_change() };
        track.note_listing(read, news);
        Ok(())
    }

    async fn watch(&self) -> Result<(), PlatformError> {
        let track = self.node.follow.track(self.kind);
        let since = track.read();
        let held = tokio::select! {
            result = self.watch_held(since) => Some(result?),
            () = track.overtaken() => None,
            () = track.recheck.notified() => None,
        };
        // There is something to know that the watch did not bring, so it is late or silent.
        let watched = if let Some(watched) = held {
            watched
        } else {
            let store = StoreCalls::new(&self.node);
            store.watch(self.kind, since, Duration::ZERO, CallReason::Behind).await?
        };
        match watched {
            Watched::Changes(snapshot) => {
                let is_news = !snapshot.objects.is_empty();
                let lapses = self.is_after_outage();
                apply::changes(&self.node, self.kind, &snapshot, track.since(), lapses);
                track.note(snapshot.revision, if is_news { snapshot.revision } else { 0 });
                if is_news && self.kind != Kind::Endpoints {
                    self.node.announce.notify_one();
                }
                if is_news {
                    self.gather().await;
                }
                Ok(())
            }
            Watched::HistoryGone => {
                tracing::info!(event = "history_gone", kind = self.kind.name());
                self.list().await
            }
        }
    }

    /// Watches from `since`, and raises doubts about the store if its answer is overdue.
    async fn watch_held(&self, since: u64) -> Result<Watched, PlatformError> {
        let held = self.held();
        let store = StoreCalls::new(&self.node);
        let answer = store.watch(self.kind, since, held, self.watch_reason());
        tokio::pin!(answer);
        if held.is_zero() {
            return answer.await;
        }
        tokio::select! {
            result = &mut answer => return result,
            () = sleep(held + OVERDUE) => {}
        }
        let _doubt = Doubt::raise(&self.node, self.kind);
        answer.await
    }

    fn watch_reason(&self) -> CallReason {
        let track = self.node.follow.track(self.kind);
        match (track.is_away(), track.is_behind()) {
            (true, _) => CallReason::Retry,
            (false, true) => CallReason::Behind,
            (false, false) => CallReason::Watch,
        }
    }

    /// Waits until further changes have gathered: endpoints that join or leave together change their
    /// entries one after another, configurations come in quick succession, and each answer is paid for.
    async fn gather(&self) {
        let is_first = lock(&self.node.tables).fleet.is_first_reader(self.node.now());
        sleep(pacing::gather(self.kind, is_first)).await;
    }

    /// Returns how long the store may hold a watch back.
    fn held(&self) -> Duration {
        let track = self.node.follow.track(self.kind);
        // After an outage the first answer is wanted at once: it says that the store is back.
        if track.is_behind() || track.is_away() {
            return Duration::ZERO;
        }
        let is_first = lock(&self.node.tables).fleet.is_first_reader(self.node.now());
        pacing::held(self.kind, is_first)
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
        fleet_sync::catch_up(&self.node, self.kind, SourceScope::Everywhere).await;
        let asker = self.asker();
        let most = pacing::retry(self.failures, asker);
        // Spread, or all instances call in the same moment when the store is back.
        let wait = most.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::select! {
            () = sleep(wait) => {}
            () = self.until_back(), if asker == Asker::ToldLater => {}
            () = self.node.follow.track(self.kind).nudge.notified() => {
                fleet_sync::catch_up(&self.node, self.kind, SourceScope::Everywhere).await;
                sleep(pacing::FIRST_WAIT).await;
            }
        }
        self.wait_for_endpoints().await;
    }

    fn asker(&self) -> Asker {
        let now = self.node.now();
        let fleet = &lock(&self.node.tables).fleet;
        match (fleet.is_preferred_reader(now), fleet.has_live_reader(now)) {
            (true, _) => Asker::Leader,
            (false, true) => Asker::Told,
            (false, false) => Asker::ToldLater,
        }
    }

    fn count(&self, end: &str) {
        self.node.metrics.store_calls.with_label_values(&[self.kind.name(), end]).inc();
    }
}
