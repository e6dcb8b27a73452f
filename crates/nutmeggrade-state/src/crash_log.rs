//! Requests under which endpoints die, again and again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::peer::{EndpointCrash, Fingerprint};
use nutmeggrade_core::prelude::*;

/// Endpoints that a request must have taken down before it is held back. One that was merely beside
/// it on an endpoint is hardly beside it again on two others.
const CRASHES: usize = 3;
/// Time after its last crash for which a request is held back: longer than its client goes on
/// sending it, and short enough that a mended endpoint is tried again.
const HELD: Duration = Duration::from_mins(2);
/// Most requests that are remembered; each crash marks those that were on the endpoint.
const MOST: usize = 1_024;

#[derive(Debug, Clone, Default)]
struct Marks {
    lives: BTreeSet<(EndpointId, u64)>,
    last: Moment,
}

/// Requests under which endpoints died.
///
/// Now and then one request takes down each endpoint that begins to run it, and its client sends it
/// again, at any instance. Without a common memory it takes down the service one endpoint after the
/// other, which one notices as restarts that wander over all endpoints. Instances tell each other
/// which requests were on an endpoint when it died; a request with three such endpoints is held back.
#[derive(Debug, Default)]
pub struct CrashLog {
    marks: BTreeMap<Fingerprint, Marks>,
}

impl CrashLog {
    /// Makes an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an endpoint died under a request.
    pub fn note(&mut self, crashed: &EndpointCrash, now: Moment) {
        self.forget(now);
        if self.marks.len() >= MOST && !self.marks.contains_key(&crashed.request) {
            return;
        }
        let marks = self.marks.entry(crashed.request).or_default();
        marks.lives.insert((crashed.endpoint.clone(), crashed.born));
        marks.last = now;
    }

    /// Says whether a request is held back.
    pub fn holds(&self, request: &Fingerprint, now: Moment) -> bool {
        let marks = self.marks.get(request);
        marks.is_some_and(|m| m.lives.len() >= CRASHES && now.since(m.last) <= HELD)
    }

    fn forget(&mut self, now: Moment) {
        self.marks.retain(|_, m| now.since(m.last) <= HELD);
    }
}
