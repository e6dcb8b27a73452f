//! Selects the next waiting request and the endpoint for a request.

use nutmeggrade_core::prelude::*;

use super::Dispatcher;
use crate::dispatch::comparison::Comparison;
use crate::dispatch::lane_key::LaneKey;
use crate::dispatch::limit::Limit;
use crate::dispatch::{Candidate, DispatchRequest};
use crate::queue::{YieldReason, units};

impl Dispatcher {
    pub(super) fn take_next(
        &mut self,
        key: &LaneKey,
        now: Moment,
    ) -> Option<(DispatchRequest, EndpointId)> {
        let heads: Vec<DispatchRequest> = self.lanes.get(key)?.heads().cloned().collect();
        let mut rejected: Vec<DispatchRequest> = Vec::new();
        for request in heads {
            if rejected.iter().any(|smaller| needs_as_much(&request, smaller)) {
                continue;
            }
            let reason = match self.choose_in_order(&request, key.is_late, now) {
                Ok(endpoint) => return Some((request, endpoint)),
                Err(reason) => reason,
            };
            if let Some(reason) = reason {
                self.order.own.yielded(request.ticket, reason, now);
            }
            // An older request at a peer is ahead of this one, and not of all in the lane.
            if !request.is_restricted() && reason != Some(YieldReason::Older) {
                rejected.push(request);
            }
        }
        None
    }

    /// Selects an endpoint, unless the request leaves the free capacity to more urgent or older ones;
    /// returns for which of them.
    pub(super) fn choose_in_order(
        &mut self,
        request: &DispatchRequest,
        is_late: bool,
        now: Moment,
    ) -> Result<EndpointId, Option<YieldReason>> {
        let is_active = self.order.is_active(&request.service, now);
        let mut chosen = self.choose(request, Limit::Committed, now);
        if chosen.is_none() && is_active && self.may_exceed(request, now) {
            chosen = self.choose(request, Limit::Whole, now);
        }
        let chosen = chosen.ok_or(None)?;
        if !is_active {
            return Ok(chosen);
        }
        let regular = self.pools.get(&request.service, false);
        let endpoint = self.pools.find(&request.service, &chosen);
        let Some((endpoint, pool)) = endpoint.zip(regular) else { return Ok(chosen) };
        let view = (pool, &self.load_table);
        let Some(reason) = self.order.yield_reason(request, is_late, endpoint, view, now) else {
            return Ok(chosen);
        };
        self.choose(request, Limit::Unused, now).ok_or(Some(reason))
    }

    /// Returns whether a request may use memory that is not committed to others: short ones do
    /// where less urgent ones, which have not grown to their final memory yet, take the rest.
    fn may_exceed(&self, request: &DispatchRequest, now: Moment) -> bool {
        request.is_short() && self.order.has_less_urgent(&request.service, request.priority, now)
    }

    /// Selects among the endpoints of a new version if the request is selected for it or may run at
    /// one version only. Otherwise, or if none of them has room, selects among all others.
    pub(super) fn choose(
        &mut self,
        request: &DispatchRequest,
        limit: Limit,
        now: Moment,
    ) -> Option<EndpointId> {
        let includes_canaries = request.is_canary || request.version.is_some();
        let canary =
            if includes_canaries { self.choose_among(request, true, limit, now) } else { None };
        canary.or_else(|| self.choose_among(request, false, limit, now))
    }

    fn choose_among(
        &mut self,
        request: &DispatchRequest,
        is_canary: bool,
        limit: Limit,
        now: Moment,
    ) -> Option<EndpointId> {
        let pool = self.pools.get(&request.service, is_canary)?;
        let sample = match &request.version {
            Some(version) => pool.sample_version(version, &mut self.rng),
            None => pool.sample(request.from.as_ref().unwrap_or(&self.domain), &mut self.rng),
        };
        let is_short = limit == Limit::Whole;
        let paces = self.paces.of_service(&request.service);
        let holds = &self.holds;
        let (load_table, domain) = (&self.load_table, &self.domain);
        let comparison = Comparison { load_table, paces, holds, domain, request, is_short, now };
        let is_in_limit =
            |c: &&Candidate| limit != Limit::Unused || self.order.unused(c, now) >= units(request);
        let sample: Vec<&Candidate> = sample.into_iter().filter(is_in_limit).collect();
        self.compared += sample.len() as u64;
        let first = comparison.best(sample, &mut self.rng);
        if let Some(choice) = first.filter(|choice| !choice.is_late) {
            return Some(choice.candidate.id.clone());
        }
        let sample = pool.wide_sample(&mut self.rng);
        let sample: Vec<&Candidate> = sample.into_iter().filter(is_in_limit).collect();
        self.compared += sample.len() as u64;
        let wide = comparison.best(sample, &mut self.rng);
        let best = wide.filter(|choice| !choice.is_late).or(first).or(wide);
        best.map(|choice| choice.candidate.id.clone())
    }
}

/// Returns whether a request finds no room where `smaller` found none. The requests of all workspaces
/// wait for the same endpoints, and with hundreds of workspaces comparing these again for each took
/// most of the time under load.
fn needs_as_much(request: &DispatchRequest, smaller: &DispatchRequest) -> bool {
    !request.is_canary
        && !request.is_restricted()
        && request.memory >= smaller.memory
        && request.prompt >= smaller.prompt
}
