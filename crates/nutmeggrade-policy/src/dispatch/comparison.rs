//! Comparison of the endpoints that may run a request.

use nutmeggrade_core::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{
    Candidate, DispatchRequest, HoldPolicy, LoadTable, ServiceView, failure_rate_penalty,
    fits_gap_limit, fits_within, score,
};

/// Upper bound of the random part of an endpoint's score. It keeps instances that see the same load
/// from all choosing the same endpoint between two heartbeats.
const MAX_RANDOM_PENALTY: f64 = 0.04;
/// Score penalty of an endpoint in another failure domain, as a fraction of an endpoint's capacity.
/// Traffic between domains costs more and takes a millisecond longer, which must not outweigh real
/// load.
const CROSS_DOMAIN_PENALTY: f64 = 0.15;
/// The same for a copy of a generation's memory, which takes twice as long between domains while
/// the engine that it comes from is about to leave.
const CROSS_DOMAIN_COPY_PENALTY: f64 = 0.35;
/// The best of the endpoints that were compared.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The endpoint.
    pub candidate: &'a Candidate,
    /// Whether events would be late there.
    pub is_late: bool,
}

/// Compares endpoints for one request.
#[derive(Debug)]
pub struct Comparison<'a> {
    /// Load of each endpoint.
    pub load_table: &'a LoadTable,
    /// Pace of each endpoint.
    pub paces: ServiceView<'a>,
    /// Which engines count as full.
    pub holds: &'a HoldPolicy,
    /// Failure domain of this instance.
    pub domain: &'a DomainId,
    /// The request.
    pub request: &'a DispatchRequest,
    /// Whether the request may use memory that is not committed to others.
    pub is_short: bool,
    /// The current time.
    pub now: Moment,
}

impl Comparison<'_> {
    /// Returns the endpoint with the least score among those that have room; one where events would
    /// be late only if no other has room.
    pub fn best<'c>(
        &self,
        candidates: Vec<&'c Candidate>,
        rng: &mut ChaCha8Rng,
    ) -> Option<Choice<'c>> {
        let is_available =
            |c: &&Candidate| !self.load_table.health(&c.id).is_some_and(|h| h.is_paused(self.now));
        let mut open = candidates;
        open.retain(|c| self.request.allows(c));
        let usable: Vec<&Candidate> = open.iter().copied().filter(is_available).collect();
        // A paused endpoint is better than none.
        let usable = if usable.is_empty() { open } else { usable };
        // The least failure rate of all endpoints is taken as caused by the requests, not by an
        // endpoint.
        let base_rate = usable.iter().map(|c| self.failure_rate(c)).fold(1.0, f64::min);
        let mut best: Option<(f64, Choice<'_>)> = None;
        for candidate in usable {
            let placed = self.load_table.load(&candidate.id);
            let is_full = self.holds.is_full(&candidate.id, self.request.priority, self.now);
            if is_full || !fits_within(candidate, &placed, self.request, self.is_short, self.now) {
                continue;
            }
            let pace = self.paces.of(candidate, self.now);
            let is_late = !fits_gap_limit(&placed, self.request, &pace);
            let health = self.load_table.health(&candidate.id);
            let recent_failures = health.map_or(0.0, |h| h.recent_failures(self.now));
            let failure_penalty = failure_rate_penalty(self.failure_rate(candidate) - base_rate);
            let total = score(candidate, &placed, recent_failures, &pace)
                + failure_penalty
                + self.domain_penalty(candidate)
                + rng.random_range(0.0..MAX_RANDOM_PENALTY);
            let is_better = |(least, choice): (f64, Choice<'_>)| {
                if is_late == choice.is_late { total < least } else { choice.is_late }
            };
            if best.is_none_or(is_better) {
                best = Some((total, Choice { candidate, is_late }));
            }
        }
        best.map(|(_, choice)| choice)
    }

    fn failure_rate(&self, candidate: &Candidate) -> f64 {
        self.load_table.health(&candidate.id).map_or(0.0, |h| h.failure_rate(self.now))
    }

    fn domain_penalty(&self, candidate: &Candidate) -> f64 {
        match &self.request.from {
            Some(from) if *from != candidate.domain => CROSS_DOMAIN_COPY_PENALTY,
            None if *self.domain != candidate.domain => CROSS_DOMAIN_PENALTY,
            _ => 0.0,
        }
    }
}
