//! Read state of each kind of object: revisions, and whether the store is available.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use nutmeggrade_core::peer::Revisions;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::read_range::ReadRange;
use nutmeggrade_state::seen_revisions::SeenRevisions;
use nutmeggrade_wire::kinds::Kind;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::tables::lock;

/// Time after which a watch that is behind a peer's heartbeat counts as late or silent; the store
/// notifies all watches within milliseconds.
const OVERTAKEN_DELAY: Duration = Duration::from_millis(60);

/// Time after an outage during which missing entries may have expired while the store was
/// unavailable.
pub const POST_OUTAGE_WINDOW: Duration = Duration::from_secs(3);

/// Read state of one kind of object.
#[derive(Debug, Default)]
pub struct KindState {
    /// Wakes the follower because a peer has read a higher revision.
    pub peer_ahead: Notify,
    /// Makes the follower query the store at once instead of waiting for its watch.
    pub recheck: Notify,
    range: Mutex<ReadRange>,
    /// Highest revision that a peer has reported.
    peer_revision: AtomicU64,
    loaded: AtomicBool,
    unavailable: AtomicBool,
    overdue: AtomicBool,
    /// Time of the store's last answer, in milliseconds since the start.
    answered_at: AtomicU64,
}

impl KindState {
    /// Returns the revision up to which everything is read.
    pub fn read(&self) -> u64 {
        lock(&self.range).read()
    }

    /// Returns the revision of the last response that contained changes, which peers compare.
    pub fn change_revision(&self) -> u64 {
        lock(&self.range).last_change()
    }

    /// Returns the revision after which peers are missing only the next set of changes.
    pub fn since(&self) -> u64 {
        lock(&self.range).since()
    }

    /// Records the revision that a peer has read, and wakes the follower if it is higher than this
    /// instance's.
    pub fn note_peer_revision(&self, revision: u64) {
        self.peer_revision.fetch_max(revision, Ordering::Relaxed);
        if self.is_behind() {
            self.peer_ahead.notify_one();
        }
    }

    /// Returns whether a peer has read a higher revision.
    pub fn is_behind(&self) -> bool {
        self.peer_revision.load(Ordering::Relaxed) > self.read()
    }

    /// Waits until a peer has been ahead of this instance for [`OVERTAKEN_DELAY`].
    pub async fn overtaken(&self) {
        loop {
            self.peer_ahead.notified().await;
            sleep(OVERTAKEN_DELAY).await;
            if self.is_behind() {
                return;
            }
        }
    }

    /// Records a response that covers revisions up to `read`; `change_revision` is the revision of
    /// the changes in it, or 0 if there were none.
    pub fn note(&self, read: u64, change_revision: u64) {
        lock(&self.range).note(read, change_revision);
        self.loaded.store(true, Ordering::Relaxed);
    }

    /// Records a complete listing.
    pub fn note_listing(&self, read: u64, change_revision: u64) {
        lock(&self.range).note_listing(read, change_revision);
        self.loaded.store(true, Ordering::Relaxed);
    }

    /// Records that the store answered a call.
    pub fn note_answer(&self, now: Moment) {
        let at = u64::try_from(now.since_start().as_millis()).unwrap_or(u64::MAX);
        self.answered_at.store(at, Ordering::Relaxed);
    }

    /// Returns the time since the store's last answer, or since the start if there was none.
    pub fn answer_age(&self, now: Moment) -> Duration {
        now.since(Moment::from_millis(self.answered_at.load(Ordering::Relaxed)))
    }

    /// Returns whether the kind was read at least once.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Records whether the store is unavailable; returns whether that is a change.
    pub fn set_unavailable(&self, is_unavailable: bool) -> bool {
        self.unavailable.swap(is_unavailable, Ordering::Relaxed) != is_unavailable
    }

    /// Returns whether the store is unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.unavailable.load(Ordering::Relaxed)
    }

    /// Records whether a response is overdue.
    pub fn set_overdue(&self, is_overdue: bool) {
        self.overdue.store(is_overdue, Ordering::Relaxed);
    }

    /// Returns whether a response is overdue, so that the store is probably unavailable.
    pub fn is_overdue(&self) -> bool {
        self.overdue.load(Ordering::Relaxed)
    }

    /// Returns whether the last call succeeded and no response is overdue.
    pub fn is_available(&self) -> bool {
        !self.is_unavailable() && !self.is_overdue()
    }
}

/// Read state of every kind of object.
#[derive(Debug, Default)]
pub struct ReadState {
    /// Wakes the engine poller because a response of the store is overdue.
    pub response_overdue: Notify,
    config: KindState,
    endpoints: KindState,
    evacuations: KindState,
    rollouts: KindState,
    /// Revisions whose changes were read; never locked together with a kind's range.
    seen: Mutex<SeenRevisions>,
    /// Until when missing entries may have expired, in milliseconds since the start.
    outage_until: AtomicU64,
}

impl ReadState {
    /// Creates the state of an instance that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the read state of one kind.
    pub const fn of(&self, kind: Kind) -> &KindState {
        match kind {
            Kind::Config => &self.config,
            Kind::Endpoints => &self.endpoints,
            Kind::Evacuations => &self.evacuations,
            Kind::Rollouts => &self.rollouts,
        }
    }

    /// Returns the revision of the latest changes of each kind, for peers.
    pub fn change_revisions(&self) -> Revisions {
        Revisions {
            config: self.config.change_revision(),
            endpoints: self.endpoints.change_revision(),
            out: self.evacuations.change_revision(),
            rollouts: self.rollouts.change_revision(),
        }
    }

    /// Records the revisions of changes that the store's response to a call contained.
    pub fn note_changes(&self, revisions: impl IntoIterator<Item = u64>) {
        lock(&self.seen).insert(revisions);
    }

    /// Returns the kinds of which a change may have been missed: if the store has reported a revision
    /// whose change is unknown, all `followed` kinds that were not read up to it.
    pub fn kinds_missing_changes(&self, followed: impl Fn(Kind) -> bool) -> Vec<Kind> {
        let reported = self.endpoints.read();
        let is_read = |kind: &Kind| followed(*kind) && self.of(*kind).is_loaded();
        let reads: Vec<(Kind, u64)> = Kind::ALL
            .into_iter()
            .filter(is_read)
            .map(|kind| (kind, self.of(kind).read()))
            .collect();
        let oldest_read = reads.iter().map(|(_, read)| *read).min().unwrap_or(0);
        {
            let mut seen = lock(&self.seen);
            seen.complete_up_to(oldest_read);
            if !seen.misses(reported) {
                return Vec::new();
            }
        }
        reads.into_iter().filter(|(_, read)| *read < reported).map(|(kind, _)| kind).collect()
    }

    /// Records that changes were read just after an outage, so that missing entries may only have
    /// expired.
    ///
    /// This applies to what is sent to peers only. If readers applied it to their own reads, two of
    /// them would keep prolonging each other's outage for as long as endpoints change.
    pub fn note_outage(&self, now: Moment) {
        let until = now.after(POST_OUTAGE_WINDOW).since_start().as_millis();
        self.outage_until.fetch_max(u64::try_from(until).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Returns whether missing endpoint entries may only have expired during an outage.
    pub fn may_have_expired(&self, now: Moment) -> bool {
        let until = Moment::from_millis(self.outage_until.load(Ordering::Relaxed));
        self.endpoints.is_unavailable() || now < until
    }

    /// Returns whether the endpoints were read at least once.
    pub fn has_endpoints(&self) -> bool {
        self.endpoints.is_loaded()
    }

    /// Returns whether the store is available for every kind.
    pub fn is_available(&self) -> bool {
        Kind::ALL.into_iter().all(|kind| self.of(kind).is_available())
    }

    /// Returns whether the configuration can't be read at present.
    pub fn is_config_unavailable(&self) -> bool {
        self.config.is_unavailable()
    }
}
