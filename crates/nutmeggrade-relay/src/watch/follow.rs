//! How far each kind of object is read.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use nutmeggrade_core::peer::Revisions;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::read_range::ReadRange;
use nutmeggrade_wire::kinds::Kind;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::tables::lock;

/// Time after which a watch that a peer's heartbeat has overtaken counts as late or silent; the
/// store tells all watches within milliseconds.
const OVERTAKEN: Duration = Duration::from_millis(60);

/// Time after an outage in which entries that vanish may have lapsed with the store.
pub const LAPSES: Duration = Duration::from_secs(3);

/// How far one kind of object is read.
#[derive(Debug, Default)]
pub struct Track {
    /// Wakes the follower because a peer has read further.
    pub nudge: Notify,
    /// Has whoever watches ask at once for what there is.
    pub recheck: Notify,
    range: Mutex<ReadRange>,
    /// Revision that a peer is known to have read.
    hint: AtomicU64,
    known: AtomicBool,
    away: AtomicBool,
    overdue: AtomicBool,
}

impl Track {
    /// Returns the revision up to which everything is read.
    pub fn read(&self) -> u64 {
        lock(&self.range).read()
    }

    /// Returns the revision of the last answer that held news, which is what peers compare.
    pub fn news(&self) -> u64 {
        lock(&self.range).news()
    }

    /// Returns the revision from which on peers lack nothing but the next news.
    pub fn since(&self) -> u64 {
        lock(&self.range).since()
    }

    /// Notes that a peer has read so far, and wakes the follower if that is further.
    pub fn hint(&self, theirs: u64) {
        self.hint.fetch_max(theirs, Ordering::Relaxed);
        if self.is_behind() {
            self.nudge.notify_one();
        }
    }

    /// Says whether a peer has read further.
    pub fn is_behind(&self) -> bool {
        self.hint.load(Ordering::Relaxed) > self.read()
    }

    /// Waits until a peer has read further than this instance for a while.
    pub async fn overtaken(&self) {
        loop {
            self.nudge.notified().await;
            sleep(OVERTAKEN).await;
            if self.is_behind() {
                return;
            }
        }
    }

    /// Notes an answer that leads up to `read`; `news` is the revision of what was new in it, 0 if
    /// nothing was.
    pub fn note(&self, read: u64, news: u64) {
        lock(&self.range).note(read, news);
        self.known.store(true, Ordering::Relaxed);
    }

    /// Notes a whole listing.
    pub fn note_listing(&self, read: u64, news: u64) {
        lock(&self.range).note_listing(read, news);
        self.known.store(true, Ordering::Relaxed);
    }

    /// Says whether the kind was ever read.
    pub fn is_known(&self) -> bool {
        self.known.load(Ordering::Relaxed)
    }

    /// Notes whether the store can't be read; says whether that is a change.
    pub fn set_away(&self, is_away: bool) -> bool {
        self.away.swap(is_away, Ordering::Relaxed) != is_away
    }

    /// Says whether the store can't be read.
    pub fn is_away(&self) -> bool {
        self.away.load(Ordering::Relaxed)
    }

    /// Notes whether an answer is overdue.
    pub fn set_overdue(&self, is_overdue: bool) {
        self.overdue.store(is_overdue, Ordering::Relaxed);
    }

    /// Says whether an answer is overdue, so that the store is probably away.
    pub fn is_overdue(&self) -> bool {
        self.overdue.load(Ordering::Relaxed)
    }

    /// Says whether the store answers, as far as is known.
    pub fn is_answered(&self) -> bool {
        !self.is_away() && !self.is_overdue()
    }
}

/// How far each kind of object is read.
#[derive(Debug, Default)]
pub struct Follow {
    /// Wakes whoever asks engines themselves, because an answer of the store is overdue.
    pub doubt: Notify,
    config: Track,
    endpoints: Track,
    out: Track,
    rollouts: Track,
    /// In milliseconds since the start.
    lapses_until: AtomicU64,
}

impl Follow {
    /// Makes one that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how far a kind is read.
    pub const fn track(&self, kind: Kind) -> &Track {
        match kind {
            Kind::Config => &self.config,
            Kind::Endpoints => &self.endpoints,
            Kind::Evacuations => &self.out,
            Kind::Rollouts => &self.rollouts,
        }
    }

    /// Returns the revisions of the last news, for peers.
    pub fn news(&self) -> Revisions {
        Revisions {
            config: self.config.news(),
            endpoints: self.endpoints.news(),
            out: self.out.news(),
            rollouts: self.rollouts.news(),
        }
    }

    /// Notes that changes were read just after an outage, so that entries may have lapsed with the store.
    ///
    /// It is for what peers are told. Whoever reads must not go by it: two readers would keep each other's
    /// outage alive for as long as endpoints change.
    pub fn note_lapses(&self, now: Moment) {
        let until = now.after(LAPSES).since_start().as_millis();
        self.lapses_until.fetch_max(u64::try_from(until).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Says whether entries of endpoints that vanish may only have lapsed with the store.
    pub fn may_lapse(&self, now: Moment) -> bool {
        let until = Moment::from_millis(self.lapses_until.load(Ordering::Relaxed));
        self.endpoints.is_away() || now < until
    }

    /// Says whether the endpoints were ever read.
    pub fn has_endpoints(&self) -> bool {
        self.endpoints.is_known()
    }

    /// Says whether the store answers every kind of question.
    pub fn is_answered(&self) -> bool {
        Kind::ALL.into_iter().all(|kind| self.track(kind).is_answered())
    }

    /// Says whether the configuration can't be read now.
    pub fn is_config_away(&self) -> bool {
        self.config.is_away()
    }
}
