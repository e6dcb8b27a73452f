//! Placement, queueing and refusal of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::lane_key::LaneKey;
use super::{Candidate, DispatchRequest, LoadTable, PlacedLoad, failure_rate_penalty, fits, score};
use crate::fleet::Turn;
use crate::queue::Lane;
use crate::wait_estimate::WaitEstimate;
use crate::{RetryJitter, Ticket};

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
/// Retry delay for refused requests while no wait estimate exists.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest retry delay; a client with less time left would not retry.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);
/// Longest wait for a turn that is computed; no request waits as long.
const MAX_TURN_WAIT: Duration = Duration::from_hours(1);

/// Decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchDecision {
    /// Send it to this endpoint.
    Go(EndpointId),
    /// Keep it in the queue until [`Dispatcher::release`] decides.
    Wait,
    /// Refuse it, since no endpoint can run it, or none soon enough; the client may retry after
    /// this delay.
    Refuse(Duration),
}

/// Places requests on endpoints, queues those that find no room, and refuses those that would wait
/// too long.
///
/// Without it, excess requests queue at the endpoints, where urgent ones wait behind others, the
/// largest workspace takes every slot and memory runs out in the middle of responses. Here requests
/// are served by priority and, within a priority, fairly across workspaces.
#[derive(Debug)]
pub struct Dispatcher {
    /// Load of each endpoint from this instance and its peers.
    pub load_table: LoadTable,
    domain: DomainId,
    candidates: BTreeMap<ServiceId, Vec<Candidate>>,
    lanes: BTreeMap<LaneKey, Lane<DispatchRequest>>,
    wait_estimates: BTreeMap<LaneKey, WaitEstimate>,
    jitter: RetryJitter,
    rng: ChaCha8Rng,
}

impl Dispatcher {
    /// Creates a dispatcher for an instance in `domain`, without endpoints.
    pub fn new(domain: &DomainId, seed: u64) -> Self {
        Self {
            load_table: LoadTable::new(),
            domain: domain.clone(),
            candidates: BTreeMap::new(),
            lanes: BTreeMap::new(),
            wait_estimates: BTreeMap::new(),
            jitter: RetryJitter::new(seed),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the endpoints of all services.
    pub fn set_candidates(&mut self, candidates: BTreeMap<ServiceId, Vec<Candidate>>) {
        self.candidates = candidates;
    }

    /// Decides about a new request, which may wait for at most `patience`.
    pub fn request_placement(
        &mut self,
        request: &DispatchRequest,
        patience: Duration,
        now: Moment,
    ) -> DispatchDecision {
        if !self.must_queue(request)
            && let Some(endpoint) = self.choose(request, now)
        {
            self.place(request, &endpoint, now);
            return DispatchDecision::Go(endpoint);
        }
        if self.able(request).next().is_none() {
            return DispatchDecision::Refuse(self.jitter.draw(DEFAULT_RETRY_DELAY));
        }
        let key = LaneKey::on_time(&request.service, request.priority);
        let late_key = LaneKey::late(&request.service, request.priority);
        let late_waiting = self.lanes.get(&late_key).map_or(0, Lane::len);
        let on_time_waiting = self.lanes.get(&key).map_or(0, |l| l.ahead(&request.workspace));
        let ahead = on_time_waiting + late_waiting + 1;
        let estimate = self.wait_estimates.get(&key).and_then(|w| w.wait(ahead));
        let turn = self.next_turn(request, now);
        let turn_wait = turn.map(|(first, rate)| first + turns_time(ahead - 1, rate));
        if let Some(wait) = estimate.max(turn_wait)
            && wait > patience
        {
            // Nothing can be sent before the first turn.
            let earliest = turn.map_or(Duration::ZERO, |(first, _)| first);
            let delay = (wait.min(MAX_RETRY_DELAY) / 2).max(earliest.min(MAX_RETRY_DELAY));
            return DispatchDecision::Refuse(self.jitter.draw(delay));
        }
        self.lanes.entry(key).or_default().push(request);
        DispatchDecision::Wait
    }

    /// Places waiting requests where room is free, the most urgent first.
    pub fn release(&mut self, now: Moment) -> Vec<(Ticket, EndpointId)> {
        let mut released = Vec::new();
        self.move_late(now);
        let keys: Vec<LaneKey> = self.lanes.keys().cloned().collect();
        for key in keys {
            let mut count = 0;
            while let Some((request, endpoint)) = self.take_next(&key, now) {
                self.place(&request, &endpoint, now);
                if let Some(lane) = self.lanes.get_mut(&key) {
                    lane.take(request.ticket, request.memory.max(1) as f64);
                }
                released.push((request.ticket, endpoint));
                count += 1;
            }
            let is_idle = self.lanes.get(&key).is_none_or(Lane::is_empty);
            let wait = self.wait_estimates.entry(key).or_default();
            wait.released(count, now);
            if is_idle {
                wait.idle(now);
            }
        }
        self.lanes.retain(|_, lane| !lane.is_empty());
        released
    }

    /// Removes a request whose client gave up waiting; returns its retry delay.
    pub fn cancel(&mut self, request: &DispatchRequest) -> Duration {
        let key = LaneKey::on_time(&request.service, request.priority);
        for key in [&key, &LaneKey::late(&request.service, request.priority)] {
            if let Some(lane) = self.lanes.get_mut(key) {
                lane.remove(request.ticket);
            }
        }
        let ahead = self.lanes.get(&key).map_or(0, |lane| lane.ahead(&request.workspace));
        let wait = self.wait_estimates.get(&key).and_then(|w| w.wait(ahead));
        self.jitter.draw(wait.map_or(DEFAULT_RETRY_DELAY, |w| w.min(MAX_RETRY_DELAY) / 2))
    }

    /// Selects an endpoint for a generation that moves there from another, bypassing the queue.
    pub fn choose_move_target(
        &mut self,
        request: &DispatchRequest,
        now: Moment,
    ) -> Option<EndpointId> {
        self.choose(request, now)
    }

    /// Draws the retry delay of a request that no endpoint can serve.
    pub fn draw_retry_delay(&mut self) -> Duration {
        self.jitter.draw(DEFAULT_RETRY_DELAY)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }

    /// Records that a request goes to an endpoint.
    pub fn place(&mut self, request: &DispatchRequest, endpoint: &EndpointId, now: Moment) {
        let placed =
            PlacedLoad { requests: 1, memory: request.memory, reading: request.prompt, moving: 0 };
        self.load_table.place(request.ticket, endpoint, placed);
        let endpoints = self.candidates.get_mut(&request.service).into_iter().flatten();
        for candidate in endpoints.filter(|c| c.id == *endpoint) {
            candidate.cold_left = candidate.cold_left.map(|left| left.saturating_sub(1));
            if let Some(turn) = &mut candidate.turn {
                turn.take(now);
            }
        }
    }

    /// Returns whether requests of the same or a higher priority wait for the same service.
    fn must_queue(&self, request: &DispatchRequest) -> bool {
        let first = LaneKey::on_time(&request.service, 0);
        let last = LaneKey::on_time(&request.service, request.priority);
        self.lanes.range(first..=last).any(|(_, lane)| !lane.is_empty())
    }

    /// Moves requests that can no longer end in time to the late lanes.
    fn move_late(&mut self, now: Moment) {
        let mut late = Vec::new();
        for (key, lane) in self.lanes.iter_mut().filter(|(key, _)| !key.is_late) {
            for ticket in lane.expired(|request| request.start_deadline <= now) {
                late.extend(lane.remove(ticket).map(|request| (key.priority, request)));
            }
        }
        for (priority, request) in late {
            self.lanes.entry(LaneKey::late(&request.service, priority)).or_default().push(&request);
        }
    }

    /// Lists the endpoints that could run the request if they had no other load.
    fn able<'a>(&'a self, request: &'a DispatchRequest) -> impl Iterator<Item = &'a Candidate> {
        let can_run = |c: &&Candidate| {
            !c.is_canary
                && !request.avoid.contains(&c.id)
                && c.memory.is_none_or(|m| request.memory <= m)
        };
        self.candidates.get(&request.service).into_iter().flatten().filter(can_run)
    }

    /// Returns the time until the next turn at an endpoint that could run the request, and the turns
    /// per second, if all those endpoints limit their rates or asked for a pause.
    ///
    /// A queue behind such endpoints is only as fast as their turns, which is known before any
    /// request was released from it.
    fn next_turn(&self, request: &DispatchRequest, now: Moment) -> Option<(Duration, f64)> {
        let turns: Option<Vec<Turn>> = self.able(request).map(|c| c.turn).collect();
        let turns = turns?;
        let first = turns.iter().map(|t| t.next).min()?.since(now);
        Some((first, turns.iter().map(Turn::rate).sum()))
    }

    fn take_next(&mut self, key: &LaneKey, now: Moment) -> Option<(DispatchRequest, EndpointId)> {
        let heads: Vec<DispatchRequest> = self.lanes.get(key)?.heads().cloned().collect();
        heads.into_iter().find_map(|request| {
            let endpoint = self.choose(&request, now)?;
            Some((request, endpoint))
        })
    }

    /// Selects among the endpoints of a new version if the request is selected for it. Otherwise,
    /// or if none of them has room, selects among all others.
    fn choose(&mut self, request: &DispatchRequest, now: Moment) -> Option<EndpointId> {
        let canary = if request.is_canary { self.choose_among(request, true, now) } else { None };
        canary.or_else(|| self.choose_among(request, false, now))
    }

    fn choose_among(
        &mut self,
        request: &DispatchRequest,
        is_canary: bool,
        now: Moment,
    ) -> Option<EndpointId> {
        let candidates = self.candidates.get(&request.service)?;
        let is_available =
            |c: &&Candidate| !self.load_table.health(&c.id).is_some_and(|h| h.is_paused(now));
        let is_open = |c: &&Candidate| c.is_canary == is_canary && !request.avoid.contains(&c.id);
        let open: Vec<&Candidate> = candidates.iter().filter(is_open).collect();
        let usable: Vec<&Candidate> = open.iter().copied().filter(is_available).collect();
        // A paused endpoint is better than none.
        let usable = if usable.is_empty() { open } else { usable };
        let failure_rate =
            |c: &Candidate| self.load_table.health(&c.id).map_or(0.0, |h| h.failure_rate(now));
        // The least failure rate of all endpoints is taken as caused by the requests, not by an
        // endpoint.
        let base_rate = usable.iter().map(|c| failure_rate(c)).fold(1.0, f64::min);
        let mut best: Option<(f64, &Candidate)> = None;
        for candidate in usable {
            let placed = self.load_table.load(&candidate.id);
            if !fits(candidate, &placed, request, now) {
                continue;
            }
            let recent_failures =
                self.load_table.health(&candidate.id).map_or(0.0, |h| h.recent_failures(now));
            let random = self.rng.random_range(0.0..MAX_RANDOM_PENALTY);
            let domain_penalty = match &request.from {
                Some(from) if *from != candidate.domain => CROSS_DOMAIN_COPY_PENALTY,
                None if self.domain != candidate.domain => CROSS_DOMAIN_PENALTY,
                _ => 0.0,
            };
            let failure_penalty = failure_rate_penalty(failure_rate(candidate) - base_rate);
            let total = score(candidate, &placed, recent_failures)
                + failure_penalty
                + domain_penalty
                + random;
            if best.is_none_or(|(least, _)| total < least) {
                best = Some((total, candidate));
            }
        }
        best.map(|(_, candidate)| candidate.id.clone())
    }
}

/// Returns the time that a number of turns takes.
fn turns_time(count: usize, per_second: f64) -> Duration {
    Duration::from_secs_f64((count as f64 / per_second).min(MAX_TURN_WAIT.as_secs_f64()))
}
