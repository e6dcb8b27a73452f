//! What an instance knows and has decided, behind one lock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::Outcome;
use nutmeggrade_core::routing::{EndpointInfo, RouteMap, ServiceSpec};
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{Candidate, Dispatcher, Need, Offer};
use nutmeggrade_policy::fleet::{ColdShare, ResendBudget};
use nutmeggrade_policy::pace::Pace;
use nutmeggrade_policy::rollout::watched;
use nutmeggrade_state::crash_log::CrashLog;
use nutmeggrade_state::fleet_view::FleetView;
use nutmeggrade_state::registry::{Registered, Registry};
use nutmeggrade_state::rollout::{EndpointLoad, RolloutTable, Standing, Surroundings};
use tokio::sync::oneshot;

use crate::settings::Settings;

/// Locks a table; a panic of another holder left it whole, since no table changes in two steps.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a decision may depend on.
///
/// One lock for all: choosing an endpoint looks at the registry, the load book, the budgets and the
/// cold shares together, and holds the lock for some microseconds. Lock order: the route map is read
/// before this lock is taken, never under it.
#[derive(Debug)]
pub struct Tables {
    /// Endpoints and failure domains that are out.
    pub registry: Registry,
    /// Who has how much where, and who waits.
    pub dispatcher: Dispatcher,
    /// The other instances.
    pub fleet: FleetView,
    /// How long answers take.
    pub pace: Pace,
    /// Requests under which endpoints died.
    pub crashes: CrashLog,
    /// Services that move to another version.
    pub rollouts: RolloutTable,
    resends: BTreeMap<ServiceId, ResendBudget>,
    cold: BTreeMap<EndpointId, ColdShare>,
    waiting: BTreeMap<Ticket, oneshot::Sender<EndpointId>>,
}

impl Tables {
    /// Makes tables of an instance that knows nothing yet.
    pub fn new(dispatcher: Dispatcher, fleet: FleetView) -> Self {
        Self {
            registry: Registry::new(),
            dispatcher,
            fleet,
            pace: Pace::new(),
            crashes: CrashLog::new(),
            rollouts: RolloutTable::new(),
            resends: BTreeMap::new(),
            cold: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Decides about a request; one that waits hears by the channel. A refusal says when to come back.
    pub fn offer(
        &mut self,
        need: &Need,
        patience: Duration,
        now: Moment,
    ) -> Result<oneshot::Receiver<EndpointId>, Duration> {
        let (sender, receiver) = oneshot::channel();
        match self.dispatcher.offer(need, patience, now) {
            Offer::Go(endpoint) => {
                self.note_cold(&endpoint, now);
                // The receiver is in hand, so the send can't fail.
                drop(sender.send(endpoint));
                Ok(receiver)
            }
            Offer::Wait => {
                self.waiting.insert(need.ticket, sender);
                Ok(receiver)
            }
            Offer::Refuse(wait) => Err(wait),
        }
    }

    /// Gives free room to those who wait.
    pub fn release(&mut self, now: Moment) {
        for (ticket, endpoint) in self.dispatcher.release(now) {
            self.note_cold(&endpoint, now);
            let taken = self.waiting.remove(&ticket).map(|s| s.send(endpoint));
            // Whoever gave up in the same moment leaves the room to the next.
            if !matches!(taken, Some(Ok(()))) {
                self.dispatcher.book.end(ticket);
            }
        }
    }

    /// Takes a request out that gave up waiting; returns when it may come back.
    pub fn give_up(&mut self, need: &Need) -> Duration {
        self.waiting.remove(&need.ticket);
        self.dispatcher.book.end(need.ticket);
        self.dispatcher.give_up(need)
    }

    /// Notes a request for a service; returns the part of such requests that a new version gets now.
    pub fn count_request(&mut self, service: &ServiceId, settings: &Settings, now: Moment) -> f64 {
        self.budget(service, settings).request(now);
        self.rollouts.count_request(service);
        self.rollouts.share(service, now)
    }

    /// Notes what a request tells of the version that served it. An endpoint that has just started or leaves
    /// is slow or breaks off whatever its version.
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
            Outcome::Failed => !self.registry.is_parting(&endpoint.id),
            Outcome::FirstResponse(_) | Outcome::EventInterval(_) => is_warm,
        };
        if counts {
            let version = endpoint.version.as_ref();
            self.rollouts.note_outcome(&endpoint.service, version, route, outcome);
        }
    }

    /// Takes a second send to a service out of the budget, if one is left.
    pub fn take_resend(&mut self, service: &ServiceId, settings: &Settings, now: Moment) -> bool {
        let sharers = self.fleet.sharers(now);
        self.budget(service, settings).take(sharers, now)
    }

    fn budget(&mut self, service: &ServiceId, settings: &Settings) -> &mut ResendBudget {
        let fresh = || ResendBudget::new(settings.resends);
        self.resends.entry(service.clone()).or_insert_with(fresh)
    }

    /// Notes a request that goes to an endpoint that may be cold.
    pub fn note_cold(&mut self, endpoint: &EndpointId, now: Moment) {
        if let Some(share) = self.cold.get_mut(endpoint) {
            share.sent(now);
        }
    }

    /// Looks at the endpoints of a service that moves to another version.
    pub fn surroundings(
        &self,
        map: &RouteMap,
        (service, version): (&ServiceId, &VersionId),
        now: Moment,
    ) -> Surroundings {
        let engine = map.service(service).and_then(|s| s.engine);
        let book = &self.dispatcher.book;
        let load = |info: &EndpointInfo| EndpointLoad {
            slots: engine.map_or(info.slots, |e| e.slots),
            running: book.at(&info.id).requests,
            own: book.own().get(&info.id).map_or(0, |p| p.requests),
            is_movable: engine.is_some_and(|e| e.can_move),
        };
        Surroundings::new(&self.registry, (service, version), load, now)
    }

    /// Works out anew what endpoints may get by their version.
    fn rule_versions(&mut self, settings: &Settings, now: Moment) {
        if settings.exposure.is_none() {
            return;
        }
        let mut versions = self.registry.provisional(self.rollouts.is_known(), now);
        // A service whose roll-out is over may have any version.
        versions.retain(|service, _| !self.rollouts.is_decided(service));
        versions.extend(self.rollouts.rules(now));
        self.registry.set_versions(versions);
    }

    /// Works out anew which endpoints may get work.
    pub fn refresh(&mut self, map: &RouteMap, settings: &Settings, now: Moment) {
        self.rule_versions(settings, now);
        let mut candidates: BTreeMap<ServiceId, Vec<Candidate>> = BTreeMap::new();
        let mut canaries: BTreeMap<&ServiceId, Vec<Candidate>> = BTreeMap::new();
        let mut cold = BTreeSet::new();
        let sharers = self.fleet.sharers(now);
        for entry in self.registry.usable() {
            let Some(spec) = map.service(&entry.info.service) else { continue };
            let mut candidate = warm(entry, spec);
            if let Some(bound) = cold_bound(entry, spec, settings, now) {
                let rank = self.fleet.rank(&entry.info.id, now);
                let share = self.cold.entry(entry.info.id.clone()).or_default();
                candidate.cold_left = Some(share.left(bound, rank, sharers, now));
                cold.insert(entry.info.id.clone());
            }
            if self.registry.standing(&entry.info) != Standing::Canary {
                candidates.entry(spec.name.clone()).or_default().push(candidate);
            } else if entry.is_warm(now) {
                candidate.is_canary = true;
                canaries.entry(&spec.name).or_default().push(candidate);
            }
        }
        for (service, all) in canaries {
            let count = watched(all.len(), self.rollouts.share(service, now));
            candidates.entry(service.clone()).or_default().extend(all.into_iter().take(count));
        }
        self.cold.retain(|id, _| cold.contains(id));
        let registry = &self.registry;
        self.dispatcher.book.keep_endpoints(|id| registry.get(id).is_some());
        self.dispatcher.set_candidates(candidates);
    }
}

fn warm(entry: &Registered, spec: &ServiceSpec) -> Candidate {
    let slots = spec.engine.map_or(entry.info.slots, |e| e.slots);
    Candidate {
        id: entry.info.id.clone(),
        domain: entry.info.domain.clone(),
        slots,
        memory: spec.engine.map(|e| e.memory),
        cold_left: None,
        is_canary: false,
    }
}

/// Returns how many requests a second a cold endpoint may get from all instances together.
fn cold_bound(
    entry: &Registered,
    spec: &ServiceSpec,
    settings: &Settings,
    now: Moment,
) -> Option<u32> {
    if entry.cold_until <= now || spec.cold_rate <= 0.0 {
        return None;
    }
    let bound = spec.cold_rate * settings.cold_overrun + settings.cold_tolerance;
    // A rate beyond any that an endpoint bears bounds nothing.
    let steps = (0..16).rev().map(|bit| 1_u32 << bit);
    Some(steps.fold(0, |sum, step| if f64::from(sum + step) <= bound { sum + step } else { sum }))
}
