//! Lists and watches one kind of object.

mod waiting;

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::PlatformError;
use nutmeggrade_state::fleet_view::SourceScope;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::store::{Snapshot, WatchResult};
use rand::RngExt;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::fleet_sync;
use crate::node::Node;
use crate::tables::lock;
use crate::version_records;
use crate::watch::apply;
use crate::watch::overdue_guard::OverdueGuard;
use crate::watch::pacing::{self, RetryRole};
use crate::watch::read_state::POST_OUTAGE_WINDOW;
use crate::watch::store_calls::{CallReason, StoreCalls};

/// Time for a peer's changes to arrive before they are requested. A peer sends them together with
/// the heartbeat that announces them.
const PEER_CHANGES_WAIT: Duration = Duration::from_millis(60);
/// Time after a watch's hold time at which its response is overdue. The store responds in
/// milliseconds, and waiting as long as for a slow response would use up the notice of engines that
/// are leaving.
const OVERDUE_AFTER: Duration = Duration::from_millis(250);
/// Time for the watches of other kinds to deliver a change that a response about endpoints has
/// already counted; the store notifies all watches within milliseconds.
const OTHER_KINDS_DELAY: Duration = Duration::from_millis(60);
/// Time between checks whether this instance has become a reader.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Starts a follower for every kind of object.
pub fn start(node: &Arc<Node>) -> Vec<JoinHandle<()>> {
    let follower = |kind| Follower {
        node: Arc::clone(node),
        kind,
        failures: 0,
        is_unanswered: false,
        recovered_at: None,
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
    /// Whether the last call got no answer, or none that was complete.
    is_unanswered: bool,
    recovered_at: Option<Moment>,
    /// Time at which this instance became a reader.
    reader_since: Option<Moment>,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let node = Arc::clone(&self.node);
            let state = node.read_state.of(self.kind);
            if state.is_loaded() {
                self.await_readers().await;
            } else if self.kind == Kind::Rollouts {
                self.await_objects().await;
            }
            // An instance whose last call failed retries the store itself, since nothing else would
            // reset the failure.
            if state.is_loaded() && !state.is_unavailable() && self.relies_on_peers() {
                if !state.is_behind() {
                    self.await_peer_changes().await;
                    continue;
                }
                if self.catch_up().await {
                    continue;
                }
            }
            let result = if !state.is_loaded() {
                self.list(CallReason::First).await
            } else if self.hold_time().is_zero() {
                self.read_missed(self.watch_reason()).await
            } else {
                self.watch().await
            };
            match result {
                Ok(()) => self.succeeded(),
                Err(error) => self.failed(&error).await,
            }
        }
    }

    /// Returns whether this instance relies on other readers for this kind.
    fn relies_on_peers(&mut self) -> bool {
        let now = self.node.now();
        if !self.is_reader(now) {
            self.reader_since = None;
            return true;
        }
        let since = *self.reader_since.get_or_insert(now);
        now.since(since) < lock(&self.node.tables).fleet.takeover_wait(now)
    }

    /// Returns whether this instance reads this kind on behalf of the fleet. Each further watch
    /// costs a call for every change and for every expired hold time: with a watch for each kind on
    /// all of 81 instances, an idle minute took 1,860 calls.
    fn is_reader(&self, now: Moment) -> bool {
        let fleet = &lock(&self.node.tables).fleet;
        match self.kind {
            Kind::Endpoints | Kind::Rollouts => fleet.is_reader(now),
            Kind::Config | Kind::Evacuations => fleet.is_config_reader(now),
        }
    }

    /// Returns whether this instance is the first of the readers.
    fn is_first_reader(&self) -> bool {
        lock(&self.node.tables).fleet.is_first_reader(self.node.now())
    }

    async fn list(&mut self, reason: CallReason) -> Result<(), PlatformError> {
        let node = Arc::clone(&self.node);
        let (store, state) = (StoreCalls::new(&node), node.read_state.of(self.kind));
        let is_first = !state.is_loaded();
        let first = store.first_page(self.kind, reason).await?;
        // All instances of a fleet may start together: a thousand of them with ten thousand
        // endpoints would read 4 GB, half a minute's worth of the store's link.
        if is_first && first.has_more && self.await_supply().await {
            return Ok(());
        }
        // Pages that may lag don't count towards the store's call limit. Later listings follow a
        // loss of history, when no watch can continue from an older page.
        let mut snapshot = store.remaining_pages(self.kind, first, is_first, reason).await?;
        let mut later = None;
        if snapshot.revision < snapshot.newest_revision {
            let since = snapshot.revision;
            let reason = CallReason::AfterListing;
            match store.watch(self.kind, since, Duration::ZERO, reason, || {}).await? {
                WatchResult::Changes(changes) => later = Some(changes),
                WatchResult::NoHistory => {
                    snapshot = store.list(self.kind, CallReason::Relist).await?;
                }
            }
        }
        self.record_versions(&snapshot).await;
        if let Some(later) = &later {
            self.record_versions(later).await;
        }
        apply::listing(&self.node, self.kind, &snapshot, self.is_after_outage());
        if self.kind == Kind::Config && !snapshot.objects.is_empty() && node.map().version == 0 {
            // Peers may have the last configuration that could be read. They are asked after a
            // failure; an instance that has read as much as they have asks nobody.
            let error = anyhow::anyhow!("no configuration can be read");
            return Err(PlatformError::Refused(error));
        }
        let mut read = snapshot.revision;
        if let Some(later) = &later {
            apply::later_changes(&self.node, self.kind, later, self.is_after_outage());
            read = later.revision;
        }
        // A first listing contains nothing that peers who listed a moment earlier are missing;
        // announced as a change it would make each of them request it again. A later listing may
        // imply removals, except of the configuration. Most instances never list rollouts themselves,
        // so the absence of rollouts is announced.
        let has_changes = match self.kind {
            Kind::Config => false,
            Kind::Rollouts => true,
            Kind::Endpoints | Kind::Evacuations => !is_first,
        };
        let change_revision = if has_changes { snapshot.revision } else { snapshot.last_change };
        state.note_listing(read, change_revision);
        Ok(())
    }

    async fn watch(&mut self) -> Result<(), PlatformError> {
        let node = Arc::clone(&self.node);
        let state = node.read_state.of(self.kind);
        let since = state.read();
        let outcome = tokio::select! {
            result = self.watch_with_hold(since) => Ok(result?),
            // The watch is late or silent: a change exists that it did not deliver.
            () = state.overtaken() => Err(CallReason::Behind),
            () = state.recheck.notified() => Err(CallReason::Recheck),
            () = self.await_first_rank() => Err(CallReason::Takeover),
        };
        match outcome {
            Ok(watched) => self.apply_watched(watched).await?,
            Err(reason) => self.read_missed(reason).await?,
        }
        self.recheck_other_kinds().await;
        Ok(())
    }

    /// Lets the followers of other kinds ask again if the store has counted a change that no response
    /// has brought.
    ///
    /// A watch whose connection has gone silent looks like one without changes, and while the readers'
    /// watches are silent no heartbeat announces a change. The first reader's watch of endpoints is
    /// answered every second, with the revision that counts the changes of all kinds.
    async fn recheck_other_kinds(&self) {
        if self.kind != Kind::Endpoints || !self.is_first_reader() {
            return;
        }
        let missing = || {
            let is_followed = |kind| kind != Kind::Rollouts || self.node.follows_rollouts();
            self.node.read_state.kinds_missing_changes(is_followed)
        };
        if missing().is_empty() {
            return;
        }
        sleep(OTHER_KINDS_DELAY).await;
        for kind in missing() {
            self.node.read_state.of(kind).recheck.notify_one();
        }
    }

    /// Reads what this instance may have missed. If there are new configurations, only the newest is
    /// read: each version in between may be as large. The same holds after a call without an answer,
    /// since the store may take longer than the call's timeout to assemble all the versions that a
    /// watch returns, and would do so again.
    async fn read_missed(&mut self, reason: CallReason) -> Result<(), PlatformError> {
        let node = Arc::clone(&self.node);
        let state = node.read_state.of(self.kind);
        if self.kind == Kind::Config && (state.is_behind() || self.is_unanswered) {
            return self.list(reason).await;
        }
        let since = state.read();
        let store = StoreCalls::new(&node);
        let watched = store.watch(self.kind, since, Duration::ZERO, reason, || {}).await?;
        self.apply_watched(watched).await
    }

    async fn apply_watched(&mut self, watched: WatchResult) -> Result<(), PlatformError> {
        let node = Arc::clone(&self.node);
        let state = node.read_state.of(self.kind);
        match watched {
            WatchResult::Changes(snapshot) => {
                let has_changes = !snapshot.objects.is_empty();
                self.record_versions(&snapshot).await;
                let after_outage = self.is_after_outage();
                apply::changes(&self.node, self.kind, &snapshot, state.since(), after_outage);
                state.note(snapshot.revision, if has_changes { snapshot.revision } else { 0 });
                if has_changes && self.kind != Kind::Endpoints {
                    self.node.heartbeat_due.notify_one();
                }
                if has_changes {
                    self.batch_changes().await;
                }
                Ok(())
            }
            WatchResult::NoHistory => {
                tracing::info!(event = "history_gone", kind = self.kind.name());
                self.list(CallReason::Relist).await
            }
        }
    }

    /// Records new versions of services before their endpoints get work here and at the peers that
    /// rely on this instance.
    async fn record_versions(&self, snapshot: &Snapshot) {
        if self.kind != Kind::Endpoints || !self.reads_for_peers() {
            return;
        }
        version_records::record_new(&self.node, &apply::versions(snapshot)).await;
    }

    /// Returns whether peers rely on this instance for endpoints. At a start those that others begin
    /// with are first, and the readers aren't known yet.
    fn reads_for_peers(&self) -> bool {
        let fleet = &lock(&self.node.tables).fleet;
        if self.node.read_state.of(self.kind).is_loaded() {
            fleet.is_reader(self.node.now())
        } else {
            fleet.is_seed() || !fleet.has_contacts()
        }
    }

    /// Watches from `since`, and marks the store as overdue if its response begins late.
    async fn watch_with_hold(&self, since: u64) -> Result<WatchResult, PlatformError> {
        let hold = self.hold_time();
        let store = StoreCalls::new(&self.node);
        let begun = Notify::new();
        let reason = self.watch_reason();
        let response = store.watch(self.kind, since, hold, reason, || begun.notify_one());
        tokio::pin!(response);
        tokio::select! {
            result = &mut response => return result,
            () = begun.notified() => return response.await,
            () = sleep(hold + OVERDUE_AFTER) => {}
        }
        let guard = OverdueGuard::set(&self.node, self.kind);
        // The store may respond to new calls while the connection of this one is silent.
        let repeated = store.watch(self.kind, since, Duration::ZERO, CallReason::Overdue, || {});
        tokio::select! {
            result = &mut response => return result,
            result = repeated => return result,
            () = begun.notified() => drop(guard),
        }
        response.await
    }

    fn watch_reason(&self) -> CallReason {
        let state = self.node.read_state.of(self.kind);
        match (state.is_unavailable(), state.is_behind()) {
            (true, _) => CallReason::Retry,
            (false, true) => CallReason::Behind,
            (false, false) => CallReason::Watch,
        }
    }

    /// Waits for further changes, to batch them: endpoints that join or leave together change their
    /// entries one after another, configurations come in quick succession, and each response is
    /// billed.
    async fn batch_changes(&self) {
        sleep(pacing::batch_delay(self.kind, self.is_first_reader())).await;
    }

    /// Returns how long the store may hold a watch.
    fn hold_time(&self) -> Duration {
        let state = self.node.read_state.of(self.kind);
        // The first call after a failure returns at once, since its response shows that the store
        // is back.
        if state.is_behind() || state.is_unavailable() {
            return Duration::ZERO;
        }
        pacing::hold_time(self.kind, self.is_first_reader())
    }

    /// Returns whether missing entries may have expired during an outage.
    fn is_after_outage(&self) -> bool {
        let is_recent = |recovered_at| self.node.now().since(recovered_at) <= POST_OUTAGE_WINDOW;
        self.failures > 0 || self.recovered_at.is_some_and(is_recent)
    }

    fn succeeded(&mut self) {
        self.count_call("ok");
        if self.failures > 0 {
            self.recovered_at = Some(self.node.now());
        }
        self.failures = 0;
        self.is_unanswered = false;
        if self.node.read_state.of(self.kind).set_unavailable(false) {
            tracing::info!(event = "store_back", kind = self.kind.name());
        }
    }

    async fn failed(&mut self, error: &PlatformError) {
        self.count_call("failed");
        self.failures += 1;
        self.is_unanswered = matches!(error, PlatformError::Unknown(_));
        if self.node.read_state.of(self.kind).set_unavailable(true) {
            tracing::warn!(event = "store_away", kind = self.kind.name(), error = %error);
        }
        fleet_sync::catch_up(&self.node, self.kind, SourceScope::Everywhere).await;
        let role = self.role();
        let longest = pacing::max_backoff(self.failures, role);
        // Jitter, so that not all instances call at the same moment when the store is back.
        let wait = longest.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::select! {
            () = sleep(wait) => {}
            () = self.await_recovery(), if role == RetryRole::NonLeaderInOutage => {}
            () = self.node.read_state.of(self.kind).peer_ahead.notified() => {
                fleet_sync::catch_up(&self.node, self.kind, SourceScope::Everywhere).await;
                sleep(pacing::INITIAL_BACKOFF).await;
            }
        }
        self.await_endpoints_recovery().await;
    }

    fn role(&self) -> RetryRole {
        let now = self.node.now();
        let fleet = &lock(&self.node.tables).fleet;
        match (fleet.is_preferred_reader(now), fleet.has_live_reader(now)) {
            (true, _) => RetryRole::Leader,
            (false, true) => RetryRole::NonLeader,
            (false, false) => RetryRole::NonLeaderInOutage,
        }
    }

    fn count_call(&self, outcome: &str) {
        self.node.metrics.store_calls.with_label_values(&[self.kind.name(), outcome]).inc();
    }
}
