//! Log of requests that repeatedly crash endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::peer::{Crashed, Fingerprint};
use nutmeggrade_core::prelude::*;

/// Number of endpoints that must have crashed under a request before it is blocked. A request that
/// only happened to run at a crashing endpoint is unlikely to be at two others too.
const CRASHES: usize = 3;
/// Time after its last crash for which a request is blocked: longer than its client keeps resending
/// it, and short enough that a repaired endpoint is tried again.
const HELD: Duration = Duration::from_mins(2);
/// Maximum number of stored requests; each crash is recorded for all requests at the endpoint.
const MOST: usize = 1_024;

#[derive(Debug, Clone, Default)]
struct Marks {
    lives: BTreeSet<(EndpointId, u64)>,
    last: Moment,
}

/// Log of requests that were running at endpoints when these crashed.
///
/// Occasionally one request crashes each endpoint that starts to run it, and its client resends it,
/// at any instance. Without a shared log it takes down the service's endpoints one after the other;
/// the symptom is restarts that move through all endpoints. Instances announce to each other which
/// requests were at an endpoint when it crashed, and a request with three such endpoints is
/// blocked.
#[derive(Debug, Default)]
pub struct CrashLog {
    marks: BTreeMap<Fingerprint, Marks>,
}

impl CrashLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an endpoint crashed under a request.
    pub fn note(&mut self, crashed: &Crashed, now: Moment) {
        self.forget(now);
        if self.marks.len() >= MOST && !self.marks.contains_key(&crashed.request) {
            return;
        }
        let marks = self.marks.entry(crashed.request).or_default();
        marks.lives.insert((crashed.endpoint.clone(), crashed.born));
        marks.last = now;
    }

    /// Returns whether a request is blocked.
    pub fn holds(&self, request: &Fingerprint, now: Moment) -> bool {
        let marks = self.marks.get(request);
        marks.is_some_and(|m| m.lives.len() >= CRASHES && now.since(m.last) <= HELD)
    }

    fn forget(&mut self, now: Moment) {
        self.marks.retain(|_, m| now.since(m.last) <= HELD);
    }
}
