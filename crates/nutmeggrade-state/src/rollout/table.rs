//! All roll-outs as one instance knows them.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{
    Outcome, RolloutId, RolloutNotice, RolloutPhase, RolloutReport, RolloutState, RolloutTally,
    StoredRollout,
};

use nutmeggrade_policy::rollout::RolloutDecision;

use super::entry::Entry;
use super::peer_count::PeerCount;
use super::version_rule::VersionRule;

/// Time after the end of a roll-out for which endpoints of other versions get nothing: they stop, and their
/// entries take some heartbeats to lapse. Endpoints that register later are to serve, whatever their version.
const STOPPING: Duration = Duration::from_secs(10);

/// A state that is to be written to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// The service, which is the object's name too.
    pub service: ServiceId,
    /// The version that the state is about.
    pub version: VersionId,
    /// Revision that the object must still have.
    pub revision: u64,
    /// The state.
    pub state: RolloutState,
}

/// One roll-out, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutView {
    /// The service.
    pub service: ServiceId,
    /// The order.
    pub id: RolloutId,
    /// How far it is.
    pub phase: RolloutPhase,
    /// Part of the requests that goes to the new version now.
    pub share: f64,
    /// Time since the first instance knew of it.
    pub age: Duration,
    /// Time in which it has to be decided.
    pub duration: Duration,
    /// What this instance knows to be counted.
    pub tally: RolloutTally,
    /// What the evidence says, where this instance judges it.
    pub verdict: &'static str,
}

/// All roll-outs as one instance knows them.
///
/// The order and its outcome lie in the platform's store, and how far a roll-out is between them is told from
/// instance to instance: phases only advance, so it does not matter by which way or how often they are heard.
/// Instances that were all lost begin to watch the version anew.
#[derive(Debug, Default)]
pub struct RolloutTable {
    entries: BTreeMap<ServiceId, Entry>,
    is_known: bool,
}

impl RolloutTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes all orders that there are; returns those whose phase changed.
    pub fn replace(&mut self, all: &[StoredRollout], now: Moment) -> Vec<RolloutNotice> {
        self.is_known = true;
        let listed = |service: &ServiceId| all.iter().any(|r| r.order.service == *service);
        let gone: Vec<ServiceId> = self.entries.keys().filter(|s| !listed(s)).cloned().collect();
        let mut changed: Vec<_> = all.iter().filter_map(|r| self.put(r, now)).collect();
        changed.extend(gone.iter().filter_map(|service| self.remove(service, now)));
        changed
    }

    /// Says whether it is known which orders there are.
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// Takes an order as it lies in the store now; returns it if its phase changed.
    pub fn put(&mut self, stored: &StoredRollout, now: Moment) -> Option<RolloutNotice> {
        let StoredRollout { order, revision, phase, .. } = stored;
        let known = self.entries.get(&order.service);
        if known.is_some_and(|e| e.order.id != order.id && e.revision > *revision) {
            return None;
        }
        let is_new = known.is_none_or(|e| e.order.id != order.id);
        if is_new {
            let entry = Entry::new((order, *revision), *phase, Duration::ZERO, now);
            self.entries.insert(order.service.clone(), entry);
        }
        let entry = self.entries.get_mut(&order.service)?;
        let is_changed = entry.take(stored, now);
        (is_changed || is_new).then(|| entry.notice(now))
    }

    /// Takes the news that an order is gone; returns it if it was not decided yet.
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

    /// Takes a peer's word; says whether a phase changed.
    pub fn hear(&mut self, notice: &RolloutNotice, now: Moment) -> bool {
        let RolloutNotice { order, revision, phase, age, .. } = notice;
        let known = self.entries.get(&order.service);
        // What peers tell of an order that this instance has not read counts, or it would use endpoints that
        // are held everywhere else.
        let is_new = known.is_none_or(|e| e.order.id != order.id);
        if is_new {
            if known.is_some_and(|e| e.revision >= *revision) {
                return false;
            }
            let entry = Entry::new((order, *revision), *phase, *age, now);
            self.entries.insert(order.service.clone(), entry);
        }
        let Some(entry) = self.entries.get_mut(&order.service) else { return false };
        entry.hear(notice, now) || is_new
    }

    /// Takes a peer's counts.
    pub fn take_report(&mut self, report: &RolloutReport) {
        let Some(entry) = self.entries.get_mut(&report.service) else { return };
        if entry.order.id != report.id {
            return;
        }
        let life = (report.instance.clone(), report.incarnation);
        // Datagrams may overtake each other.
        if entry.peers.get(&life).is_none_or(|known| known.is_before(report)) {
            entry.peers.insert(life, PeerCount::new(report));
        }
    }

    /// Returns what endpoints may get by their version, for each service with a roll-out.
    pub fn rules(&self, now: Moment) -> BTreeMap<ServiceId, VersionRule> {
        let has_stopped = |e: &Entry| {
            e.phase == RolloutPhase::Completed
                && e.over.is_none_or(|over| now.since(over) > STOPPING)
        };
        let ruled = self.entries.iter().filter(|(_, e)| !has_stopped(e));
        let rule = |e: &Entry| VersionRule::new(&e.order.id.version, e.phase);
        ruled.map(|(service, e)| (service.clone(), rule(e))).collect()
    }

    /// Says whether a service's last order was completed.
    pub fn is_decided(&self, service: &ServiceId) -> bool {
        self.entries.get(service).is_some_and(|e| e.phase == RolloutPhase::Completed)
    }

    /// Returns the part of a service's requests that may go to the new version now.
    pub fn share(&self, service: &ServiceId, now: Moment) -> f64 {
        self.entries.get(service).map_or(0.0, |e| e.share(now))
    }

    /// Notes a request for a service.
    pub fn count_request(&mut self, service: &ServiceId) {
        if let Some(entry) = self.undecided(service) {
            entry.own.requests = entry.own.requests.saturating_add(1);
        }
    }

    /// Notes that a request goes to an endpoint of a version.
    pub fn note_sent(&mut self, service: &ServiceId, version: Option<&VersionId>) {
        let entry = self.undecided(service);
        if let Some(entry) = entry.filter(|e| Some(&e.order.id.version) == version) {
            entry.own.exposed = entry.own.exposed.saturating_add(1);
        }
    }

    /// Notes what a request tells of the version that served it.
    pub fn note_outcome(
        &mut self,
        service: &ServiceId,
        version: Option<&VersionId>,
        route: &str,
        outcome: Outcome,
    ) {
        if let Some(entry) = self.undecided(service) {
            let is_new = Some(&entry.order.id.version) == version;
            entry.own.add(route, is_new, outcome);
        }
    }

    fn undecided(&mut self, service: &ServiceId) -> Option<&mut Entry> {
        self.entries.get_mut(service).filter(|e| !e.phase.is_over())
    }

    /// Lists the services whose roll-out is not over, with their orders.
    pub fn open(&self) -> impl Iterator<Item = (&ServiceId, &RolloutId)> {
        let open = self.entries.iter().filter(|(_, e)| !e.phase.is_over());
        open.map(|(service, e)| (service, &e.order.id))
    }

    /// Says whether a service has a roll-out that is not over.
    pub fn is_open(&self, service: &ServiceId) -> bool {
        self.entries.get(service).is_some_and(|e| !e.phase.is_over())
    }

    /// Says whether every one of `peers` and this instance, which has `running` requests at other versions,
    /// sends nothing there any more and has nothing there.
    pub fn is_clear<'a>(
        &self,
        service: &ServiceId,
        running: u32,
        mut peers: impl Iterator<Item = &'a InstanceId>,
    ) -> bool {
        let Some(entry) = self.entries.get(service) else { return false };
        let newest = |peer: &InstanceId| {
            let lives = entry.peers.range((peer.clone(), 0)..=(peer.clone(), u64::MAX));
            lives.last().map(|(_, count)| count)
        };
        running == 0
            && entry.phase >= RolloutPhase::Switching
            && peers.all(|peer| newest(peer).is_some_and(PeerCount::is_clear))
    }

    /// Takes a ruling of this instance; returns what the peers are told if the phase changed.
    pub fn rule(
        &mut self,
        service: &ServiceId,
        ruling: &RolloutDecision,
        now: Moment,
    ) -> Option<RolloutNotice> {
        let entry = self.entries.get_mut(service)?;
        entry.verdict = ruling.verdict.as_str();
        let is_changed = entry.advance(ruling.phase, now);
        entry.grant(ruling.share, now);
        is_changed.then(|| entry.notice(now))
    }

    /// Grants nothing any more, as another instance judges.
    pub fn stop_granting(&mut self) {
        self.entries.values_mut().for_each(Entry::stop_granting);
    }

    /// Lists the states that the store should hold but does not.
    pub fn unwritten(&self) -> Vec<StateChange> {
        let change = |(service, e): (&ServiceId, &Entry)| {
            // Without a revision the order was only heard of; whoever has read it writes.
            let state = e.unwritten().filter(|_| e.revision > 0)?;
            let version = e.order.id.version.clone();
            Some(StateChange { service: service.clone(), version, revision: e.revision, state })
        };
        self.entries.iter().filter_map(change).collect()
    }

    /// Returns what peers are told in heartbeats.
    pub fn notices(&self, now: Moment) -> Vec<RolloutNotice> {
        let is_news = |e: &&Entry| {
            !e.phase.is_over() || e.over.is_some_and(|over| now.since(over) <= STOPPING)
        };
        self.entries.values().filter(is_news).map(|e| e.notice(now)).collect()
    }

    /// Returns all orders as they lie in the store, as far as is known.
    pub fn stored(&self) -> Vec<StoredRollout> {
        let there = self.entries.values().filter(|e| e.phase != RolloutPhase::Withdrawn);
        there.map(Entry::stored_rollout).collect()
    }

    /// Returns what those who judge are told of a service's roll-out, unless it is over. `instance` and
    /// `incarnation` name this instance, which has `running` requests at other versions.
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
            tally: entry.own.clone(),
        })
    }

    /// Lists all roll-outs.
    pub fn views(&self, now: Moment) -> Vec<RolloutView> {
        self.entries.keys().filter_map(|service| self.view(service, now)).collect()
    }

    /// Returns one roll-out.
    pub fn view(&self, service: &ServiceId, now: Moment) -> Option<RolloutView> {
        let entry = self.entries.get(service)?;
        Some(RolloutView {
            service: service.clone(),
            id: entry.order.id.clone(),
            phase: entry.phase,
            share: entry.share(now),
            age: entry.age(now),
            duration: entry.duration(),
            tally: entry.tally(),
            verdict: entry.verdict,
        })
    }

    /// Forgets orders that were taken back once no endpoint of their version is registered.
    pub fn forget(&mut self, is_there: impl Fn(&ServiceId, &VersionId) -> bool) {
        self.entries.retain(|service, e| {
            e.phase != RolloutPhase::Withdrawn || is_there(service, &e.order.id.version)
        });
    }
}
