//! Leases on the capacity of engines.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::hold_state::{FULL_TIME, HoldState};
use super::{HoldDecision, HoldQuery};

/// Longest lease: the request follows at once, and reserved capacity that serves no request is
/// wasted.
const MAX_LEASE_TIME: Duration = Duration::from_secs(1);

/// Decides whether a request takes a lease on an engine's capacity before it is sent.
///
/// An engine keeps requests that find no memory in a queue of its own. A request that must not run
/// twice can't be taken back from there, and waits while other engines become free. A lease asks the
/// engine before anything is sent. It costs a call, so it is taken only under pressure.
#[derive(Debug, Clone, Default)]
pub struct HoldPolicy {
    states: BTreeMap<EndpointId, HoldState>,
    /// When the last engine was full, so that placements without any full engine need no look-ups.
    last_full: Option<Moment>,
}

impl HoldPolicy {
    /// Creates a policy that knows nothing of any engine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides about a request. After [`HoldDecision::Take`], a call is recorded by
    /// [`Self::begin_call`].
    pub fn decide(&self, query: &HoldQuery<'_>, now: Moment) -> HoldDecision {
        if !query.is_eligible() {
            return HoldDecision::Send;
        }
        if self.is_full(query.endpoint, query.request.priority, now) {
            return HoldDecision::Full;
        }
        let state = self.states.get(query.endpoint);
        let has_pressure = query.is_nearly_full() || state.is_some_and(|s| s.has_waiting(now));
        if !has_pressure || state.is_some_and(|s| s.is_paused(now)) {
            return HoldDecision::Send;
        }
        if state.is_some_and(|s| s.is_calling) {
            return HoldDecision::Wait;
        }
        HoldDecision::Take(query.engine.lease_time.min(MAX_LEASE_TIME))
    }

    /// Returns whether an engine counts as full for requests of a priority.
    pub fn is_full(&self, endpoint: &EndpointId, priority: u8, now: Moment) -> bool {
        self.last_full.is_some_and(|at| now.since(at) < FULL_TIME)
            && self.states.get(endpoint).is_some_and(|s| s.is_full(priority, now))
    }

    /// Records the number of waiting requests that an endpoint reported.
    pub fn record_report(&mut self, endpoint: &EndpointId, waiting: u32, now: Moment) {
        self.states.entry(endpoint.clone()).or_default().record_report(waiting, now);
    }

    /// Records that a call for a lease begins.
    pub fn begin_call(&mut self, endpoint: &EndpointId) {
        self.states.entry(endpoint.clone()).or_default().is_calling = true;
    }

    /// Records that an engine granted a lease.
    pub fn record_granted(&mut self, endpoint: &EndpointId) {
        self.end_call(endpoint, |_| {});
    }

    /// Records that an engine refused a lease to a request of this priority.
    pub fn record_full(&mut self, endpoint: &EndpointId, priority: u8, now: Moment) {
        self.last_full = Some(now);
        self.end_call(endpoint, |state| state.record_full(priority, now));
    }

    /// Records that a call for a lease had no usable answer.
    pub fn record_failure(&mut self, endpoint: &EndpointId, now: Moment) {
        self.end_call(endpoint, |state| state.record_failure(now));
    }

    /// Records that a lease expired before its request was sent. It doesn't end another request's
    /// call.
    pub fn record_expiry(&mut self, endpoint: &EndpointId, now: Moment) {
        if let Some(state) = self.states.get_mut(endpoint) {
            state.record_failure(now);
        }
    }

    /// Removes an endpoint that is gone.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.states.remove(endpoint);
    }

    /// Removes endpoints that are gone.
    pub fn retain_endpoints(&mut self, is_present: impl Fn(&EndpointId) -> bool) {
        self.states.retain(|endpoint, _| is_present(endpoint));
    }

    fn end_call(&mut self, endpoint: &EndpointId, update: impl FnOnce(&mut HoldState)) {
        // The endpoint may have been removed during the call.
        if let Some(state) = self.states.get_mut(endpoint) {
            state.is_calling = false;
            update(state);
        }
    }
}
