//! State on which decisions depend, behind one lock.

mod candidates;
mod paces;
mod turns;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::Outcome;
use nutmeggrade_core::routing::{EndpointInfo, RouteMap};
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{
    Backoff, DispatchDecision, DispatchRequest, Dispatcher, Refusal, StallWatch,
};
use nutmeggrade_policy::fleet::{ColdShare, RateShare, ResendBudget};
use nutmeggrade_policy::pace::Pace;
use nutmeggrade_state::change_log::ChangeLog;
use nutmeggrade_state::crash_log::CrashLog;
use nutmeggrade_state::fleet_view::FleetView;
use nutmeggrade_state::reach_table::ReachTable;
use nutmeggrade_state::registry::Registry;
use nutmeggrade_state::rollout::{EndpointLoad, RolloutTable, ServiceLoad};
use nutmeggrade_state::running_answers::RunningAnswers;
use nutmeggrade_state::stream_table::StreamTable;
use tokio::sync::oneshot;

use crate::settings::Settings;

/// Endpoint of a request that has waited, or its refusal.
pub type Placement = Result<EndpointId, Refusal>;

/// Locks a mutex, also after a panic of another holder: no table is changed in two steps, so the
/// state is consistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// State on which decisions depend.
///
/// There is one lock for all of it: choosing an endpoint reads the registry, the load table, the
/// budgets and the cold shares together, and holds the lock for some microseconds. Lock order: the
/// route map is read before this lock is taken, never under it.
#[derive(Debug)]
pub struct Tables {
    /// Endpoints, and failure domains that are evacuated.
    pub registry: Registry,
    /// Recent changes of endpoints.
    pub change_log: ChangeLog,
    /// Load of each endpoint, and the queue of waiting requests.
    pub dispatcher: Dispatcher,
    /// Peers.
    pub fleet: FleetView,
    /// Services that can't be reached.
    pub reach: ReachTable,
    /// Durations of responses.
    pub pace: Pace,
    /// What was running when an endpoint crashed.
    pub crashes: CrashLog,
    /// Answers that endpoints are sending.
    pub running: RunningAnswers,
    /// Requests at engines, and since when these are silent.
    pub stalls: StallWatch,
    /// Versions at which streams began.
    pub streams: StreamTable,
    /// Rollouts of services to another version.
    pub rollouts: RolloutTable,
    /// This instance's shares in the rate limits that endpoints state.
    pub rate_shares: BTreeMap<EndpointId, RateShare>,
    /// Pauses that endpoints asked this instance for.
    pub backoffs: BTreeMap<EndpointId, Backoff>,
    resend_budgets: BTreeMap<ServiceId, ResendBudget>,
    cold_shares: BTreeMap<EndpointId, ColdShare>,
    /// Endpoints that had a turn at the last refresh.
    limited: BTreeSet<EndpointId>,
    /// Version of the route map at the last refresh.
    map_version: u64,
    waiters: BTreeMap<Ticket, oneshot::Sender<Placement>>,
}

impl Tables {
    /// Creates empty tables.
    pub fn new(dispatcher: Dispatcher, fleet: FleetView) -> Self {
        Self {
            registry: Registry::new(),
            change_log: ChangeLog::new(),
            dispatcher,
            fleet,
            reach: ReachTable::new(),
            pace: Pace::new(),
            crashes: CrashLog::new(),
            running: RunningAnswers::new(),
            stalls: StallWatch::new(),
            streams: StreamTable::new(),
            rollouts: RolloutTable::new(),
            rate_shares: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            resend_budgets: BTreeMap::new(),
            cold_shares: BTreeMap::new(),
            limited: BTreeSet::new(),
            map_version: 0,
            waiters: BTreeMap::new(),
        }
    }

    /// Places a request; the channel delivers its endpoint, also after a wait, or a refusal if it is
    /// found later that the wait is in vain.
    pub fn request_placement(
        &mut self,
        request: &DispatchRequest,
        max_wait: Duration,
        now: Moment,
    ) -> Result<oneshot::Receiver<Placement>, Refusal> {
        let (sender, receiver) = oneshot::channel();
        match self.dispatcher.request_placement(request, max_wait, now) {
            DispatchDecision::Go(endpoint) => {
                self.count_placement(&endpoint, now);
                // The receiver still exists, so the send can't fail.
                drop(sender.send(Ok(endpoint)));
                Ok(receiver)
            }
            DispatchDecision::Wait => {
                self.waiters.insert(request.ticket, sender);
                Ok(receiver)
            }
            DispatchDecision::Refuse(refusal) => Err(refusal),
        }
    }

    /// Assigns free slots to waiting requests, and refuses those that wait in vain.
    pub fn release(&mut self, now: Moment) {
        for (ticket, endpoint) in self.dispatcher.release(now) {
            self.count_placement(&endpoint, now);
            let delivered = self.waiters.remove(&ticket).map(|s| s.send(Ok(endpoint)));
            // A request that gave up at the same moment frees its slot for the next one.
            if !matches!(delivered, Some(Ok(()))) {
                self.dispatcher.load_table.end(ticket);
            }
        }
        for (ticket, refusal) in self.dispatcher.take_refused() {
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // The refusal of a request that gave up at the same moment is of no use.
                drop(waiter.send(Err(refusal)));
            }
        }
    }

    /// Removes a waiting request whose client has disconnected.
    pub fn cancel_wait(&mut self, request: &DispatchRequest) {
        self.end_wait(request);
        self.dispatcher.withdraw(request);
    }

    /// Removes and refuses a request that has waited as long as it may.
    pub fn time_out(&mut self, request: &DispatchRequest, now: Moment) -> Refusal {
        self.end_wait(request);
        self.dispatcher.cancel(request, now)
    }

    fn end_wait(&mut self, request: &DispatchRequest) {
        self.waiters.remove(&request.ticket);
        self.dispatcher.load_table.end(request.ticket);
    }

    /// Counts a request for a service; returns the share of requests that a new version gets at
    /// present.
    pub fn count_request(&mut self, service: &ServiceId, settings: &Settings, now: Moment) -> f64 {
        self.budget(service, settings).request(now);
        self.rollouts.count_request(service);
        self.rollouts.share(service, now)
    }

    /// Counts a request's outcome for the version that served it. Endpoints that have just started
    /// or are leaving are not counted, since they are slow or fail whatever their version.
    pub fn note_outcome(
        &mut self,
        endpoint: &EndpointInfo,
        route: &str,
        outcome: Outcome,
        now: Moment,
    ) {
        if !self.rollouts.is_open(&endpoint.service) {
            return;
        }
        let is_warm = self.registry.get(&endpoint.id).is_some_and(|e| e.is_warm(now));
        let counts = match outcome {
            Outcome::Failed => !self.registry.should_move_work(&endpoint.id),
            Outcome::FirstResponse(_) | Outcome::EventInterval(_) => is_warm,
        };
        if counts {
            let version = endpoint.version.as_ref();
            self.rollouts.note_outcome(&endpoint.service, version, route, outcome);
        }
    }

    /// Records how many requests wait in an endpoint according to its response.
    pub fn note_waiting(&mut self, endpoint: &EndpointId, waiting: u32, now: Moment) {
        if self.registry.get(endpoint).is_some() {
            self.dispatcher.holds.record_report(endpoint, waiting, now);
        }
    }

    /// Takes one resend to a service from the budget; returns whether the budget allows it.
    pub fn take_resend(&mut self, service: &ServiceId, settings: &Settings, now: Moment) -> bool {
        let instance_count = self.fleet.instance_count(now);
        self.budget(service, settings).take(instance_count, now)
    }

    /// Returns whether the budget allows a resend to a service.
    pub fn allows_resend(&mut self, service: &ServiceId, settings: &Settings, now: Moment) -> bool {
        let instance_count = self.fleet.instance_count(now);
        self.budget(service, settings).allows(instance_count, now)
    }

    fn budget(&mut self, service: &ServiceId, settings: &Settings) -> &mut ResendBudget {
        let new_budget = || ResendBudget::new(settings.resends);
        self.resend_budgets.entry(service.clone()).or_insert_with(new_budget)
    }

    /// Summarizes the endpoints of a service that is being rolled out.
    pub fn service_load(
        &self,
        map: &RouteMap,
        (service, version): (&ServiceId, &VersionId),
        now: Moment,
    ) -> ServiceLoad {
        let engine = map.service(service).and_then(|s| s.engine);
        let load_table = &self.dispatcher.load_table;
        let load = |info: &EndpointInfo| EndpointLoad {
            slots: engine.map_or(info.slots, |e| e.slots),
            running: load_table.load(&info.id).requests,
            own: load_table.own_loads().get(&info.id).map_or(0, |p| p.requests),
            is_engine: engine.is_some(),
        };
        ServiceLoad::new(&self.registry, (service, version), load, now)
    }

    /// Recomputes the versions that each service may use.
    fn refresh_versions(&mut self, settings: &Settings, now: Moment) {
        if settings.exposure.is_none() {
            return;
        }
        let mut versions = self.registry.provisional_rules(self.rollouts.is_known(), now);
        // Once its rollout is decided, a service may use any version.
        versions.retain(|service, _| !self.rollouts.is_decided(service));
        versions.extend(self.rollouts.rules(now));
        self.registry.set_versions(versions);
    }
}
