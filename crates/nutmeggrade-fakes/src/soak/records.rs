//! Records of the requests, faults and operator actions of a soak.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::{Duration, Instant};

use crate::site::Answer;

/// Time before the deadline from which an instance may answer that it has passed.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// The outcome of a request as its client saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A response, complete or not.
    Response(Answer),
    /// The connection ended before a response head arrived.
    ConnectionClosed,
    /// The response was not complete within the client's timeout.
    TimedOut,
    /// The client closed the connection on purpose.
    Cancelled,
}

impl Outcome {
    /// Returns whether the client got a complete successful response.
    pub fn is_served(&self) -> bool {
        matches!(self, Self::Response(a) if a.status == 200 && a.is_whole)
    }

    /// Returns whether the client got no complete response, other than by its own doing. A 502 or 504
    /// says that nobody knows whether the request ran.
    pub fn is_lost(&self) -> bool {
        match self {
            Self::ConnectionClosed | Self::TimedOut => true,
            Self::Response(a) => !a.is_whole || matches!(a.status, 502 | 504),
            Self::Cancelled => false,
        }
    }
}

/// A client's request and its outcome.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Id of the attempt.
    pub id: String,
    /// Route name: the first segment of the path.
    pub route: &'static str,
    /// API key that the request carried.
    pub key: String,
    /// Index of the instance that received it.
    pub instance: usize,
    /// When the client sent it.
    pub sent: Instant,
    /// Time that the client has.
    pub deadline: Duration,
    /// When the exchange ended.
    pub ended: Instant,
    /// Its outcome.
    pub outcome: Outcome,
    /// The stream that it takes up.
    pub take_up: Option<TakeUp>,
    /// Whether the client read the response slowly.
    pub is_slow: bool,
}

impl RequestRecord {
    /// Returns whether it took all the time that its client has.
    pub fn has_expired(&self) -> bool {
        self.ended - self.sent + DEADLINE_MARGIN >= self.deadline
    }
}

/// The part of a stream that a client already has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeUp {
    /// Id of the attempt that brought the first event.
    pub first: String,
    /// Number of the last event.
    pub position: u64,
}

/// Why time limits don't apply to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisturbanceKind {
    /// The instance is stopped gracefully.
    Stop,
    /// Its settings are changed.
    Reload,
    /// Its store connection is faulty, or the store dropped its change history.
    Store,
    /// Its process is killed or suspended.
    Process,
}

/// A period in which time limits don't apply to an instance.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// Index of the instance.
    pub instance: usize,
    /// Reason for the disturbance.
    pub kind: DisturbanceKind,
    /// First moment of the period.
    pub start: Instant,
    /// Last moment of the period.
    pub end: Instant,
}

/// A configuration version that was written to the store.
#[derive(Debug, Clone)]
pub struct ConfigVersion {
    /// When it was written.
    pub at: Instant,
    /// Version number.
    pub number: u64,
    /// Whether it contains the route `/late/`.
    pub has_late: bool,
    /// API keys that it accepts.
    pub keys: Vec<String>,
}

/// A completed evacuation of a failure domain.
#[derive(Debug, Clone)]
pub struct Evacuation {
    /// Name of the failure domain.
    pub domain: &'static str,
    /// When the evacuation was ordered.
    pub start: Instant,
    /// When the order was withdrawn.
    pub end: Instant,
}

/// Everything recorded during a soak.
#[derive(Debug, Default)]
pub struct Records {
    requests: Mutex<Vec<RequestRecord>>,
    disturbances: Mutex<Vec<Disturbance>>,
    config_versions: Mutex<Vec<ConfigVersion>>,
    evacuations: Mutex<Vec<Evacuation>>,
    violations: Mutex<Vec<String>>,
}

impl Records {
    /// Creates an empty set of records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a finished request.
    pub fn add_request(&self, request: RequestRecord) {
        lock(&self.requests).push(request);
    }

    /// Records that time limits don't apply to an instance for `duration` from the call.
    pub fn add_disturbance(&self, instance: usize, kind: DisturbanceKind, duration: Duration) {
        let start = Instant::now();
        lock(&self.disturbances).push(Disturbance { instance, kind, start, end: start + duration });
    }

    /// Records a configuration version.
    pub fn add_config_version(&self, version: ConfigVersion) {
        lock(&self.config_versions).push(version);
    }

    /// Records a completed evacuation.
    pub fn add_evacuation(&self, evacuation: Evacuation) {
        lock(&self.evacuations).push(evacuation);
    }

    /// Records a violated guarantee that was detected while the soak ran.
    pub fn add_violation(&self, description: String) {
        lock(&self.violations).push(description);
    }

    /// Returns all requests.
    pub fn requests(&self) -> Vec<RequestRecord> {
        lock(&self.requests).clone()
    }

    /// Returns all configuration versions, oldest first.
    pub fn config_versions(&self) -> Vec<ConfigVersion> {
        lock(&self.config_versions).clone()
    }

    /// Returns all completed evacuations.
    pub fn evacuations(&self) -> Vec<Evacuation> {
        lock(&self.evacuations).clone()
    }

    /// Returns the instances that were stopped gracefully, each with the time of its SIGTERM.
    pub fn stops(&self) -> Vec<(usize, Instant)> {
        let disturbances = lock(&self.disturbances);
        let stops = disturbances.iter().filter(|d| d.kind == DisturbanceKind::Stop);
        stops.map(|d| (d.instance, d.start)).collect()
    }

    /// Returns the violations detected while the soak ran.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    /// Returns whether an instance had a disturbance of a kind accepted by `is_relevant` in a period.
    pub fn was_disturbed(
        &self,
        instance: usize,
        (start, end): (Instant, Instant),
        is_relevant: impl Fn(DisturbanceKind) -> bool,
    ) -> bool {
        let overlaps = |d: &Disturbance| d.start <= end && d.end >= start;
        let disturbances = lock(&self.disturbances);
        disturbances.iter().any(|d| d.instance == instance && is_relevant(d.kind) && overlaps(d))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
