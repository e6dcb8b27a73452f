//! Interface between the simulation and a scheduling policy.

use std::collections::BTreeMap;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{End, Engine, GenerationRequest, Scheduler, Ticket, Verdict};

/// The scheduling policy of an instance: the scheduler, or a baseline for comparison.
pub trait Decider {
    /// Replaces the set of engines that are eligible for new work.
    fn set_engines(&mut self, engines: &[Engine], now: Moment);
    /// Records an engine's lagging load report.
    fn report(&mut self, endpoint: &EndpointId, report: &LoadReport, now: Moment);
    /// Records the peers' numbers of requests in flight per engine.
    fn set_peers(&mut self, in_flight: &BTreeMap<EndpointId, u32>, now: Moment);
    /// Decides about a new request.
    fn admit(&mut self, request: &GenerationRequest, now: Moment) -> Verdict;
    /// Decides about queued requests.
    fn release(&mut self, now: Moment) -> Vec<(Ticket, Verdict)>;
    /// Records a token of a request.
    fn token(&mut self, ticket: Ticket, now: Moment);
    /// Records the end of a request.
    fn end(&mut self, ticket: Ticket, end: End, now: Moment);
    /// Returns this instance's number of requests in flight per engine.
    fn in_flight(&self) -> BTreeMap<EndpointId, u32>;
}

impl Decider for Scheduler {
    fn set_engines(&mut self, engines: &[Engine], now: Moment) {
        Self::set_engines(self, engines, now);
    }

    fn report(&mut self, endpoint: &EndpointId, report: &LoadReport, now: Moment) {
        Self::report(self, endpoint, report, now);
    }

    fn set_peers(&mut self, in_flight: &BTreeMap<EndpointId, u32>, now: Moment) {
        Self::set_peers(self, in_flight, now);
    }

    fn admit(&mut self, request: &GenerationRequest, now: Moment) -> Verdict {
        Self::admit(self, request, now)
    }

    fn release(&mut self, now: Moment) -> Vec<(Ticket, Verdict)> {
        Self::release(self, now)
    }

    fn token(&mut self, ticket: Ticket, now: Moment) {
        Self::token(self, ticket, now);
    }

    fn end(&mut self, ticket: Ticket, end: End, now: Moment) {
        Self::end(self, ticket, end, now);
    }

    fn in_flight(&self) -> BTreeMap<EndpointId, u32> {
        Self::in_flight(self)
    }
}
