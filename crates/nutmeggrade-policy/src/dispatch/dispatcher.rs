//! Placement, queueing and refusal of requests.

mod choosing;
mod forecasting;

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::WaitingReport;
use nutmeggrade_core::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::lane_key::LaneKey;
use super::limit::Limit;
use super::{
    Candidate, CandidatePool, DispatchRequest, FleetOrder, HoldPolicy, HoldTimes, LoadTable,
    PaceTable, PlacedLoad, Refusal, RefusalReason, ServiceForecast, ServicePools,
};
use crate::fleet::Turn;
use crate::queue::Lane;
use crate::wait_estimate::WaitEstimate;
use crate::{RetryJitter, Ticket};

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
    /// Refuse it, since no endpoint can run it, or none soon enough.
    Refuse(Refusal),
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
    /// Pace of each endpoint.
    pub paces: PaceTable,
    /// Leases on the capacity of engines, and which engines count as full.
    pub holds: HoldPolicy,
    /// Order of requests across instances.
    pub order: FleetOrder,
    domain: DomainId,
    pools: ServicePools,
    /// Endpoints that were compared since the count was last taken.
    compared: u64,
    lanes: BTreeMap<LaneKey, Lane<DispatchRequest>>,
    wait_estimates: BTreeMap<LaneKey, WaitEstimate>,
    forecasts: BTreeMap<ServiceId, ServiceForecast>,
    hold_times: HoldTimes,
    /// When the longest wait of each waiting request ends.
    wait_ends: BTreeMap<Ticket, Moment>,
    /// Waiting requests that were refused since they were last taken.
    refused: Vec<(Ticket, Refusal)>,
    jitter: RetryJitter,
    rng: ChaCha8Rng,
}

impl Dispatcher {
    /// Creates a dispatcher for an instance in `domain`, without endpoints.
    pub fn new(domain: &DomainId, seed: u64) -> Self {
        Self {
            load_table: LoadTable::new(),
            paces: PaceTable::new(),
            holds: HoldPolicy::new(),
            order: FleetOrder::new(),
            domain: domain.clone(),
            pools: ServicePools::new(),
            compared: 0,
            lanes: BTreeMap::new(),
            wait_estimates: BTreeMap::new(),
            forecasts: BTreeMap::new(),
            hold_times: HoldTimes::new(),
            wait_ends: BTreeMap::new(),
            refused: Vec::new(),
            jitter: RetryJitter::new(seed),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Replaces the endpoints of all services.
    pub fn set_candidates(&mut self, candidates: BTreeMap<ServiceId, Vec<Candidate>>) {
        self.pools.replace(candidates);
        self.forecasts.values_mut().for_each(ServiceForecast::reset_free);
    }

    /// Adds an endpoint of a service, or replaces its entry. It serves no other service any longer.
    pub fn put_candidate(&mut self, service: &ServiceId, candidate: Candidate) {
        self.pools.remove(&candidate.id, Some(service));
        self.pools.put(service, candidate);
        if let Some(forecast) = self.forecasts.get_mut(service) {
            forecast.reset_free();
        }
    }

    /// Removes an endpoint.
    pub fn remove_candidate(&mut self, id: &EndpointId) {
        self.pools.remove(id, None);
    }

    /// Returns the number of endpoints that may get new work.
    pub fn candidate_count(&self) -> usize {
        self.pools.len()
    }

    /// Returns the number of endpoints that take fewer long generations than they have slots, since
    /// events would be late otherwise.
    pub fn gap_limited_count(&self, now: Moment) -> usize {
        let is_limited = |(service, candidate): &(&ServiceId, &Candidate)| {
            self.paces.is_active(service)
                && self.paces.of_service(service).of(candidate, now).max_running.is_some()
        };
        self.pools.iter().filter(is_limited).count()
    }

    /// Returns how many endpoints were compared since the last call, in all decisions together.
    pub const fn take_compared(&mut self) -> u64 {
        std::mem::replace(&mut self.compared, 0)
    }

    /// Decides about a new request, which may wait for at most `patience`.
    pub fn request_placement(
        &mut self,
        request: &DispatchRequest,
        patience: Duration,
        now: Moment,
    ) -> DispatchDecision {
        self.record_released(now);
        let chosen = if self.must_queue(request) {
            Err(None)
        } else {
            self.choose_in_order(request, false, now)
        };
        let reason = match chosen {
            Ok(endpoint) => {
                self.order.own.arrived(request, now);
                self.place(request, &endpoint, now);
                return DispatchDecision::Go(endpoint);
            }
            Err(reason) => reason,
        };
        if self.able(request).next().is_none() {
            let delay = self.jitter.draw(DEFAULT_RETRY_DELAY);
            return DispatchDecision::Refuse(Refusal::new(RefusalReason::NoEndpoint, delay));
        }
        let refusal = self.refuse_for_turns(request, patience, now);
        if let Some(refusal) = refusal.or_else(|| self.refuse_new(request, patience, now)) {
            return DispatchDecision::Refuse(refusal);
        }
        let key = LaneKey::on_time(&request.service, request.priority);
        self.lanes.entry(key).or_default().push(request);
        self.wait_ends.insert(request.ticket, now.after(patience));
        self.order.own.arrived(request, now);
        self.order.own.queued(request, reason, now);
        DispatchDecision::Wait
    }

    /// Places waiting requests where room is free, the most urgent first.
    pub fn release(&mut self, now: Moment) -> Vec<(Ticket, EndpointId)> {
        let mut released = Vec::new();
        self.record_released(now);
        self.order.expire(&self.load_table, now);
        self.move_late(now);
        let keys: Vec<LaneKey> = self.lanes.keys().cloned().collect();
        for key in keys {
            let mut count = 0;
            while let Some((request, endpoint)) = self.take_next(&key, now) {
                self.place(&request, &endpoint, now);
                if let Some(lane) = self.lanes.get_mut(&key) {
                    lane.take(request.ticket, request.memory.max(1) as f64);
                }
                self.wait_ends.remove(&request.ticket);
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
        self.refuse_waiting(now);
        self.lanes.retain(|_, lane| !lane.is_empty());
        released
    }

    /// Returns the waiting requests that [`Self::release`] has refused since the last call.
    pub fn take_refused(&mut self) -> Vec<(Ticket, Refusal)> {
        std::mem::take(&mut self.refused)
    }

    /// Removes a waiting request whose client has disconnected.
    pub fn withdraw(&mut self, request: &DispatchRequest) {
        self.wait_ends.remove(&request.ticket);
        let key = LaneKey::on_time(&request.service, request.priority);
        self.order.own.left(request.ticket);
        for key in [&key, &LaneKey::late(&request.service, request.priority)] {
            if let Some(lane) = self.lanes.get_mut(key) {
                lane.remove(request.ticket);
            }
        }
    }

    /// Removes and refuses a request that has waited as long as it may.
    pub fn cancel(&mut self, request: &DispatchRequest, now: Moment) -> Refusal {
        self.withdraw(request);
        if let Some(refusal) = self.refuse_waited(request, now) {
            return refusal;
        }
        let key = LaneKey::on_time(&request.service, request.priority);
        let ahead = self.lanes.get(&key).map_or(0, |lane| lane.ahead(&request.workspace));
        let wait = self.wait_estimates.get(&key).and_then(|w| w.wait(ahead));
        let delay = wait.map_or(DEFAULT_RETRY_DELAY, |w| w.min(MAX_RETRY_DELAY) / 2);
        Refusal::new(RefusalReason::Timeout, self.jitter.draw(delay))
    }

    /// Selects an endpoint for a generation that moves there from another, bypassing the queue.
    pub fn choose_move_target(
        &mut self,
        request: &DispatchRequest,
        now: Moment,
    ) -> Option<EndpointId> {
        self.choose(request, Limit::Committed, now)
    }

    /// Draws the retry delay of a request that no endpoint can serve.
    pub fn draw_retry_delay(&mut self) -> Duration {
        self.jitter.draw(DEFAULT_RETRY_DELAY)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.lanes.values().map(Lane::len).sum()
    }

    /// Records a peer's report of its waiting requests.
    pub fn receive_report(&mut self, peer: &InstanceId, report: &WaitingReport, now: Moment) {
        for entry in report.entries() {
            if let Some(pool) = self.pools.get(&entry.service, false) {
                self.order.update_capacity(&entry.service, pool, now);
            }
        }
        self.order.peers.receive(peer, report, now);
    }

    /// Records that a request goes to an endpoint.
    pub fn place(&mut self, request: &DispatchRequest, endpoint: &EndpointId, now: Moment) {
        let placed =
            PlacedLoad { requests: 1, memory: request.memory, reading: request.prompt, moving: 0 };
        self.load_table.place(request.ticket, endpoint, placed);
        self.hold_times.begin(request, now);
        self.order.own.placed(request, now);
        if let Some(candidate) = self.pools.find(&request.service, endpoint) {
            self.order.placed(request, candidate, &self.load_table);
        }
        if let Some(candidate) = self.pools.get_mut(&request.service, endpoint) {
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
                self.order.own.set_late(ticket);
                late.extend(lane.remove(ticket).map(|request| (key.priority, request)));
            }
        }
        for (priority, request) in late {
            self.lanes.entry(LaneKey::late(&request.service, priority)).or_default().push(&request);
        }
    }

    /// Lists the endpoints that could run the request if they had no other load.
    fn able<'a>(&'a self, request: &'a DispatchRequest) -> impl Iterator<Item = &'a Candidate> {
        let can_run =
            |c: &&Candidate| request.allows(c) && c.memory.is_none_or(|m| request.memory <= m);
        let regular = self.pools.get(&request.service, false);
        // A stream that began at a new version goes on there.
        let canaries = self.pools.get(&request.service, true).filter(|_| request.version.is_some());
        regular.into_iter().chain(canaries).flat_map(CandidatePool::iter).filter(can_run)
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

    /// Refuses a new request if it would wait longer for a turn, or by the releases of its lane.
    fn refuse_for_turns(
        &mut self,
        request: &DispatchRequest,
        patience: Duration,
        now: Moment,
    ) -> Option<Refusal> {
        let key = LaneKey::on_time(&request.service, request.priority);
        let late_key = LaneKey::late(&request.service, request.priority);
        let late_waiting = self.lanes.get(&late_key).map_or(0, Lane::len);
        let on_time_waiting = self.lanes.get(&key).map_or(0, |l| l.ahead(&request.workspace));
        let ahead = on_time_waiting + late_waiting + 1;
        let estimate = if self.has_forecast(request, now) {
            None
        } else {
            self.wait_estimates.get(&key).and_then(|w| w.wait(ahead))
        };
        let turn = self.next_turn(request, now);
        let turn_wait = turn.map(|(first, rate)| first + turns_time(ahead - 1, rate));
        let wait = estimate.max(turn_wait).filter(|wait| *wait > patience)?;
        // Nothing can be sent before the first turn.
        let earliest = turn.map_or(Duration::ZERO, |(first, _)| first);
        let delay = (wait.min(MAX_RETRY_DELAY) / 2).max(earliest.min(MAX_RETRY_DELAY));
        let refusal = Refusal::new(RefusalReason::Forecast, self.jitter.draw(delay));
        Some(refusal.with_forecast(wait, 0))
    }
}

/// Returns the time that a number of turns takes.
fn turns_time(count: usize, per_second: f64) -> Duration {
    Duration::from_secs_f64((count as f64 / per_second).min(MAX_TURN_WAIT.as_secs_f64()))
}
