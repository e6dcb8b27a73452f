//! What clients saw, and when whom something had happened to.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::{Duration, Instant};

use crate::site::Answer;

/// What came of a request, as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// An answer, whole or not.
    Answer(Answer),
    /// The connection ended without an answer's head.
    Cut,
    /// No end came within the client's time.
    GaveUp,
    /// The client left on purpose.
    Left,
}

impl Outcome {
    /// Says whether the client got a whole success.
    pub fn is_served(&self) -> bool {
        matches!(self, Self::Answer(a) if a.status == 200 && a.is_whole)
    }
}

/// One request of a client.
#[derive(Debug, Clone)]
pub struct Asked {
    /// Id of the attempt.
    pub id: String,
    /// The route, as the first segment of the path.
    pub route: &'static str,
    /// The key.
    pub key: String,
    /// The instance.
    pub instance: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its end came.
    pub ended: Instant,
    /// What came of it.
    pub outcome: Outcome,
}

/// Why an instance can't be held to times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It is stopped as planned.
    Stop,
    /// Its settings change.
    Reload,
    /// The store treats it badly, or forgets its history.
    Store,
    /// It is killed or stands still.
    Process,
}

/// A time in which an instance can't be held to times.
#[derive(Debug, Clone, Copy)]
pub struct Trouble {
    /// The instance.
    pub instance: usize,
    /// Why.
    pub cause: Cause,
    /// Its beginning.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
}

/// A version of the configuration.
#[derive(Debug, Clone)]
pub struct Version {
    /// When the store had it.
    pub at: Instant,
    /// Its number.
    pub number: u64,
    /// Whether it has the route `/late/`.
    pub has_late: bool,
    /// Keys that it has.
    pub keys: Vec<String>,
}

/// A failure domain that was out for a while.
#[derive(Debug, Clone)]
pub struct Absence {
    /// The failure domain.
    pub domain: &'static str,
    /// When it was taken out.
    pub from: Instant,
    /// When it was taken back.
    pub until: Instant,
}

/// All that was seen and done.
#[derive(Debug, Default)]
pub struct Ledger {
    asked: Mutex<Vec<Asked>>,
    troubles: Mutex<Vec<Trouble>>,
    versions: Mutex<Vec<Version>>,
    absences: Mutex<Vec<Absence>>,
    breaks: Mutex<Vec<String>>,
}

impl Ledger {
    /// Makes an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request and what came of it.
    pub fn ask(&self, asked: Asked) {
        guard(&self.asked).push(asked);
    }

    /// Notes that an instance can't be held to times for a while from now.
    pub fn trouble(&self, instance: usize, cause: Cause, time: Duration) {
        let from = Instant::now();
        guard(&self.troubles).push(Trouble { instance, cause, from, until: from + time });
    }

    /// Notes a version that the store has.
    pub fn version(&self, version: Version) {
        guard(&self.versions).push(version);
    }

    /// Notes that a failure domain was out.
    pub fn absence(&self, absence: Absence) {
        guard(&self.absences).push(absence);
    }

    /// Notes a promise that was seen broken while the soak ran.
    pub fn broken(&self, what: String) {
        guard(&self.breaks).push(what);
    }

    /// Returns all requests.
    pub fn all_asked(&self) -> Vec<Asked> {
        guard(&self.asked).clone()
    }

    /// Returns all versions, the oldest first.
    pub fn versions(&self) -> Vec<Version> {
        guard(&self.versions).clone()
    }

    /// Returns the times in which failure domains were out.
    pub fn absences(&self) -> Vec<Absence> {
        guard(&self.absences).clone()
    }

    /// Returns what was seen broken while the soak ran.
    pub fn breaks(&self) -> Vec<String> {
        guard(&self.breaks).clone()
    }

    /// Says whether an instance had any trouble between two moments that `counts` holds of.
    pub fn had_trouble(
        &self,
        instance: usize,
        (from, until): (Instant, Instant),
        counts: impl Fn(Cause) -> bool,
    ) -> bool {
        let touches = |t: &Trouble| t.from <= until && t.until >= from;
        let all = guard(&self.troubles);
        all.iter().any(|t| t.instance == instance && counts(t.cause) && touches(t))
    }
}

fn guard<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
