//! Table of all rollouts, as seen by one instance.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{
    Outcome, RolloutId, RolloutNotice, RolloutPhase, RolloutReport, RolloutState, RolloutTally,
    StoredRollout,
};

use nutmeggrade_policy::rollout::RolloutDecision;

use super::entry::RolloutEntry;
use super::peer_count::PeerCount;
use super::version_rule::VersionRule;

/// Time after the end of a rollout for which endpoints of other versions get nothing: they shut
/// down, and their entries lapse some heartbeats later. Endpoints that register after that serve,
/// whatever their version.
const SHUTDOWN_PERIOD: Duration = Duration::from_secs(10);

/// A state to write to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// The service, whose name is also the name of the object.
    pub service: ServiceId,
    /// The version that the state applies to.
    pub version: VersionId,
    /// Revision that the object must still have.
    pub revision: u64,
    /// The state to write.
    pub state: RolloutState,
}

/// One rollout, as shown to operators.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// The service.
    pub service: ServiceId,
    /// Id of the order.
    pub id: RolloutId,
    /// Current phase.
    pub phase: RolloutPhase,
    /// Share of the requests that currently goes to the new version.
    pub share: f64,
    /// Time since the first instance learned of it.
    pub age: Duration,
    /// Time limit for the decision.
    pub duration: Duration,
    /// Counts known to this instance.
    pub tally: RolloutTally,
    /// Verdict on the evidence, if this instance is the judge.
    pub verdict: &'static str,
}

/// Table of all rollouts, as seen by one instance.
///
/// The order and its outcome are in the platform's store; the progress between them is gossiped.
/// Phases only advance, so the path and the number of deliveries do not matter. If all instances
/// are lost, the observation of the version starts again.
#[derive(Debug, Default)]
pub struct RolloutTable {
    entries: BTreeMap<ServiceId, RolloutEntry>,
    is_known: bool,
}

impl RolloutTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces all orders by a listing; returns those whose phase changed.
    pub fn replace(&mut self, all: &[StoredRollout], now: Moment) -> Vec<RolloutNotice> {
        self.is_known = true;
        let listed = |service: &ServiceId| all.iter().any(|r| r.order.service == *service);
        let gone: Vec<ServiceId> = self.entries.keys().filter(|s| !listed(s)).cloned().collect();
        let mut changed: Vec<_> = all.iter().filter_map(|r| self.put(r, now)).collect();
        changed.extend(gone.iter().filter_map(|service| self.remove(service, now)));
        changed
    }

    /// Returns whether the orders have been read.
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// Applies an order from the store; returns its notice if the phase changed.
    pub fn put(&mut self, stored: &StoredRollout, now: Moment) -> Option<RolloutNotice> {
        let StoredRollout { order, revision, phase, .. } = stored;
        let known = self.entries.get(&order.service);
        if known.is_some_and(|e| e.order.id != order.id && e.revision > *revision) {
            return None;
        }
        let is_new = known.is_none_or(|e| e.order.id != order.id);
        if is_new {
            let entry = RolloutEntry::new((order, *revision), *phase, Duration::ZERO, now);
            self.entries.insert(order.service.clone(), entry);
        }
        let entry = self.entries.get_mut(&order.service)?;
        let is_changed = entry.apply_stored(stored, now);
        (is_changed || is_new).then(|| entry.notice(now))
    }

    /// Removes an order that is gone from the store; returns its notice if it was still undecided.
    pub fn remove(&mut self, service: &ServiceId, now: Moment) -> Option<RolloutNotice> {
        let entry = self.entries.get_mut(service)?;
        if entry.phase.is_over() {
            if entry.phase != RolloutPhase::Withdrawn {
                self.entries.remove(service);
            }
            return None;
        }
        entry.advance(RolloutPhase::Withdrawn, now);
        Some(entry.notice(now))
    }

    /// Applies a peer's notice; returns whether a phase changed.
    pub fn receive_notice(&mut self, notice: &RolloutNotice, now: Moment) -> bool {
        let RolloutNotice { order, revision, phase, age, .. } = notice;
        let known = self.entries.get(&order.service);
        // A notice of an order that this instance has not read counts too; otherwise it would use
        // endpoints that are held everywhere else.
        let is_new = known.is_none_or(|e| e.order.id != order.id);
        if is_new {
            if known.is_some_and(|e| e.revision >= *revision) {
                return false;
            }
            let entry = RolloutEntry::new((order, *revision), *phase, *age, now);
            self.entries.insert(order.service.clone(), entry);
        }
        let Some(entry) = self.entries.get_mut(&order.service) else { return false };
        entry.apply_notice(notice, now) || is_new
    }

    /// Stores a peer's counts.
    pub fn take_report(&mut self, report: &RolloutReport) {
        let Some(entry) = self.entries.get_mut(&report.service) else { return };
        if entry.order.id != report.id {
            return;
        }
        let reporter = (report.instance.clone(), report.incarnation);
        // Datagrams may arrive out of order.
        if entry.peer_counts.get(&reporter).is_none_or(|known| known.is_superseded_by(report)) {
            entry.peer_counts.insert(reporter, PeerCount::new(report));
        }
    }

    /// Returns the version rule of each service with a rollout.
    pub fn rules(&self, now: Moment) -> BTreeMap<ServiceId, VersionRule> {
        let has_stopped = |e: &RolloutEntry| {
            e.phase == RolloutPhase::Completed
                && e.over_since.is_none_or(|over| now.since(over) > SHUTDOWN_PERIOD)
        };
        let active = self.entries.iter().filter(|(_, e)| !has_stopped(e));
        let rule = |e: &RolloutEntry| VersionRule::new(&e.order.id.version, e.phase);
        active.map(|(service, e)| (service.clone(), rule(e))).collect()
    }

    /// Returns whether the last order of a service was completed.
    pub fn is_decided(&self, service: &ServiceId) -> bool {
        self.entries.get(service).is_some_and(|e| e.phase == RolloutPhase::Completed)
    }

    /// Returns the share of a service's requests that may currently go to the new version.
    pub fn share(&self, service: &ServiceId, now: Moment) -> f64 {
        self.entries.get(service).map_or(0.0, |e| e.share(now))
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &ServiceId) {
        if let Some(entry) = self.undecided(service) {
            entry.own_tally.requests = entry.own_tally.requests.saturating_add(1);
        }
    }

    /// Counts a request that is sent to an endpoint of a version.
    pub fn note_sent(&mut self, service: &ServiceId, version: Option<&VersionId>) {
        let entry = self.undecided(service);
        if let Some(entry) = entry.filter(|e| Some(&e.order.id.version) == version) {
            entry.own_tally.exposed = entry.own_tally.exposed.saturating_add(1);
        }
    }

    /// Records a request's outcome for the version that served it.
    pub fn note_outcome(
        &mut self,
        service: &ServiceId,
        version: Option<&VersionId>,
        route: &str,
        outcome: Outcome,
    ) {
        if let Some(entry) = self.undecided(service) {
            let is_new = Some(&entry.order.id.version) == version;
            entry.own_tally.add(route, is_new, outcome);
        }
    }

    fn undecided(&mut self, service: &ServiceId) -> Option<&mut RolloutEntry> {
        self.entries.get_mut(service).filter(|e| !e.phase.is_over())
    }

    /// Lists the services whose rollout is not over, with their orders.
    pub fn open_rollouts(&self) -> impl Iterator<Item = (&ServiceId, &RolloutId)> {
        let open = self.entries.iter().filter(|(_, e)| !e.phase.is_over());
        open.map(|(service, e)| (service, &e.order.id))
    }

    /// Returns whether a service has a rollout that is not over.
    pub fn is_open(&self, service: &ServiceId) -> bool {
        self.entries.get(service).is_some_and(|e| !e.phase.is_over())
    }

    /// Returns whether this instance, which has `running` requests at other versions, and all
    /// `peers` have stopped sending to other versions and have no requests there.
    pub fn is_clear<'a>(
        &self,
        service: &ServiceId,
        running: u32,
        mut peers: impl Iterator<Item = &'a InstanceId>,
    ) -> bool {
        let Some(entry) = self.entries.get(service) else { return false };
        let newest_count = |peer: &InstanceId| {
            let incarnations =
                entry.peer_counts.range((peer.clone(), 0)..=(peer.clone(), u64::MAX));
            incarnations.last().map(|(_, count)| count)
        };
        running == 0
            && entry.phase >= RolloutPhase::Switching
            && peers.all(|peer| newest_count(peer).is_some_and(PeerCount::is_clear))
    }

    /// Applies a decision of this instance; returns the notice for the peers if the phase changed.
    pub fn apply_decision(
        &mut self,
        service: &ServiceId,
        decision: &RolloutDecision,
        now: Moment,
    ) -> Option<RolloutNotice> {
        let entry = self.entries.get_mut(service)?;
        entry.verdict = decision.verdict.as_str();
        let is_changed = entry.advance(decision.phase, now);
        entry.grant(decision.share, now);
        is_changed.then(|| entry.notice(now))
    }

    /// Stops granting, because another instance judges.
    pub fn stop_granting(&mut self) {
        self.entries.values_mut().for_each(RolloutEntry::stop_granting);
    }

    /// Lists the states that the store should contain but does not.
    pub fn unwritten_states(&self) -> Vec<StateChange> {
        let change = |(service, e): (&ServiceId, &RolloutEntry)| {
            // Without a revision, the order is known only from peers; an instance that has read it
            // writes.
            let state = e.unwritten_state().filter(|_| e.revision > 0)?;
            let version = e.order.id.version.clone();
            Some(StateChange { service: service.clone(), version, revision: e.revision, state })
        };
        self.entries.iter().filter_map(change).collect()
    }

    /// Returns the notices for the next heartbeat.
    pub fn notices(&self, now: Moment) -> Vec<RolloutNotice> {
        let is_announced = |e: &&RolloutEntry| {
            !e.phase.is_over()
                || e.over_since.is_some_and(|over| now.since(over) <= SHUTDOWN_PERIOD)
        };
        self.entries.values().filter(is_announced).map(|e| e.notice(now)).collect()
    }

    /// Returns all orders as recorded in the store, as far as known.
    pub fn stored(&self) -> Vec<StoredRollout> {
        let present = self.entries.values().filter(|e| e.phase != RolloutPhase::Withdrawn);
        present.map(RolloutEntry::stored_rollout).collect()
    }

    /// Returns the report to the judges on a service's rollout, unless it is over. `instance` and
    /// `incarnation` identify this instance, which has `running` requests at other versions.
    pub fn report(
        &self,
        service: &ServiceId,
        (instance, incarnation): (&InstanceId, u64),
        running: u32,
    ) -> Option<RolloutReport> {
        let entry = self.entries.get(service).filter(|e| !e.phase.is_over())?;
        Some(RolloutReport {
            instance: instance.clone(),
            incarnation,
            service: service.clone(),
            id: entry.order.id.clone(),
            phase: entry.phase,
            running,
            tally: entry.own_tally.clone(),
        })
    }

    /// Lists all rollouts.
    pub fn views(&self, now: Moment) -> Vec<RolloutView> {
        self.entries.keys().filter_map(|service| self.view(service, now)).collect()
    }

    /// Returns one rollout.
    pub fn view(&self, service: &ServiceId, now: Moment) -> Option<RolloutView> {
        let entry = self.entries.get(service)?;
        Some(RolloutView {
            service: service.clone(),
            id: entry.order.id.clone(),
            phase: entry.phase,
            share: entry.share(now),
            age: entry.age(now),
            duration: entry.time_limit(),
            tally: entry.tally(),
            verdict: entry.verdict,
        })
    }

    /// Removes withdrawn orders once no endpoint of their version is registered.
    pub fn remove_withdrawn(&mut self, is_registered: impl Fn(&ServiceId, &VersionId) -> bool) {
        self.entries.retain(|service, e| {
            e.phase != RolloutPhase::Withdrawn || is_registered(service, &e.order.id.version)
        });
    }
}
