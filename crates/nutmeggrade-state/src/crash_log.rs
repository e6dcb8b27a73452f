//! Log of requests that repeatedly crash endpoints.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::peer::{EndpointCrash, Fingerprint};
use nutmeggrade_core::prelude::*;

/// Number of endpoints that must have crashed under a request before it is blocked. A request that
/// only happened to run at a crashing endpoint is unlikely to be at two others too.
const MIN_CRASHED_ENDPOINTS: usize = 3;
/// Time after its last crash for which a request is blocked: longer than its client keeps resending
/// it, and short enough that a repaired endpoint is tried again.
const BLOCK_PERIOD: Duration = Duration::from_mins(2);
/// Maximum number of stored requests; each crash is recorded for all requests at the endpoint.
const MAX_REQUESTS: usize = 1_024;

#[derive(Debug, Clone, Default)]
struct CrashRecord {
    endpoints: BTreeSet<(EndpointId, u64)>,
    last_crash: Moment,
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
    records: BTreeMap<Fingerprint, CrashRecord>,
}

impl CrashLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an endpoint crashed under a request; returns the number of endpoints that have
    /// crashed under it if this one is new.
    pub fn note(&mut self, crashed: &EndpointCrash, now: Moment) -> Option<usize> {
        self.remove_expired(now);
        if self.records.len() >= MAX_REQUESTS && !self.records.contains_key(&crashed.request) {
            return None;
        }
        let record = self.records.entry(crashed.request).or_default();
        record.last_crash = now;
        let is_new = record.endpoints.insert((crashed.endpoint.clone(), crashed.born));
        is_new.then_some(record.endpoints.len())
    }

    /// Returns whether a request is blocked.
    pub fn holds(&self, request: &Fingerprint, now: Moment) -> bool {
        let record = self.records.get(request);
        record.is_some_and(|r| {
            r.endpoints.len() >= MIN_CRASHED_ENDPOINTS && now.since(r.last_crash) <= BLOCK_PERIOD
        })
    }

    fn remove_expired(&mut self, now: Moment) {
        self.records.retain(|_, r| now.since(r.last_crash) <= BLOCK_PERIOD);
    }
}
