//! What the driver asks for decisions.

use std::collections::BTreeMap;

use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::{End, Engine, GenerationRequest, Scheduler, Ticket, Verdict};

/// A policy of one instance: the scheduler, or a baseline that it is compared with.
pub trait Decider {
    /// Replaces the engines that may get new work.
    fn set_engines(&mut self, engines: &[Engine], now: Moment);
    /// Takes an engine's lagging report.
    fn report(&mut self, endpoint: &EndpointId, report: &LoadReport, now: Moment);
    /// Takes what peers have in flight.
    fn set_peers(&mut self, in_flight: &BTreeMap<EndpointId, u32>, now: Moment);
    /// Decides about a new request.
    fn admit(&mut self, request: &GenerationRequest, now: Moment) -> Verdict;
    /// Decides about those that wait.
    fn release(&mut self, now: Moment) -> Vec<(Ticket, Verdict)>;
    /// Notes a token.
    fn token(&mut self, ticket: Ticket, now: Moment);
    /// Notes an end.
    fn end(&mut self, ticket: Ticket, end: End, now: Moment);
    /// Returns what this instance has in flight.
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
