//! One instance that serves, as far as a roll-out needs it.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutNotice, RolloutReport};
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::rollout::{Judge, RolloutInputs, canary_endpoints};
use nutmeggrade_state::registry::{Registered, Registry};
use nutmeggrade_state::rollout::{
    EndpointLoad, LastReport, RolloutTable, ServiceLoad, VersionRole,
};

use super::endpoints::Endpoints;
use super::plan::Plan;

/// Silence after which the next instance judges.
const JUDGE_SILENCE: Duration = Duration::from_millis(800);
/// Silence after which a peer is not heard any more, and after which it is no member any more.
const SILENCE: Duration = Duration::from_millis(2_500);
const FORGOTTEN: Duration = Duration::from_secs(30);

/// One instance that serves.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: InstanceId,
    /// Number of its failure domain.
    pub domain: usize,
    /// Whether it runs.
    pub is_up: bool,
    /// Its life.
    pub incarnation: u64,
    /// What it knows of the roll-out.
    pub table: RolloutTable,
    /// What it knows of the endpoints.
    pub registry: Registry,
    /// Requests that it has at the old version.
    pub running: u32,
    /// When it heard each peer last, in this life.
    pub heard: Vec<Option<Moment>>,
    service: ServiceId,
    judge: Option<Judge>,
    reported: Option<LastReport>,
}

impl Instance {
    /// Starts an instance that knows nothing.
    pub fn new(number: usize, of: usize, service: &ServiceId) -> anyhow::Result<Self> {
        Ok(Self {
            name: InstanceId::new(&format!("i-{number:03}"))?,
            domain: number % 3,
            is_up: true,
            incarnation: 1,
            table: RolloutTable::new(),
            registry: Registry::new(),
            running: 0,
            heard: vec![None; of],
            service: service.clone(),
            judge: None,
            reported: None,
        })
    }

    /// Starts it anew after it was killed.
    pub fn restart(&mut self) {
        self.is_up = true;
        self.incarnation += 1;
        self.table = RolloutTable::new();
        self.registry = Registry::new();
        self.running = 0;
        self.heard.fill(None);
        self.judge = None;
        self.reported = None;
    }

    /// Puts the phase in force that it knows.
    pub fn refresh(&mut self, endpoints: &Endpoints, age: Duration, now: Moment) {
        let registered = endpoints.registered(age);
        if self.registry.all().count() != registered.len() {
            self.registry.replace(registered, false, now);
        }
        self.registry.set_versions(self.table.rules(now));
    }

    /// Lists the endpoints that a request may go to; `draw` is between 0 and 1.
    pub fn candidates(&self, draw: f64, now: Moment) -> Vec<usize> {
        let share = self.table.share(&self.service, now);
        let role = |e: &Registered| self.registry.role(&e.info);
        let usable: Vec<&Registered> = self.registry.usable().collect();
        let is_canary = |e: &&&Registered| role(e) == VersionRole::Canary && e.is_warm(now);
        let canaries: Vec<&Registered> = usable.iter().filter(is_canary).copied().collect();
        let number = |e: &Registered| Endpoints::number(&e.info.id);
        if draw < share && !canaries.is_empty() {
            let count = canary_endpoints(canaries.len(), share);
            return canaries.into_iter().take(count).filter_map(number).collect();
        }
        let serving = usable.into_iter().filter(|e| role(e) == VersionRole::Serving);
        serving.filter_map(number).collect()
    }

    /// Says whether it is the first of those that it hears.
    pub fn is_first(&self, own: usize, now: Moment) -> bool {
        let is_heard = |at: &Option<Moment>| at.is_some_and(|at| now.since(at) <= JUDGE_SILENCE);
        !self.heard[..own].iter().any(is_heard)
    }

    /// Decides how far the roll-out goes; returns what peers are told at once.
    pub fn decide(
        &mut self,
        peers: &[InstanceId],
        endpoints: &Endpoints,
        plan: &Plan,
        now: Moment,
    ) -> Option<RolloutNotice> {
        let view = self.table.view(&self.service, now).filter(|v| !v.phase.is_over())?;
        let within = |silence| {
            let is_so = move |at: &Option<Moment>| at.is_some_and(|at| now.since(at) <= silence);
            self.heard.iter().enumerate().filter(move |(_, at)| is_so(at)).map(|(i, _)| i)
        };
        let members: Vec<&InstanceId> = within(FORGOTTEN).map(|i| &peers[i]).collect();
        let load = |info: &EndpointInfo| EndpointLoad {
            slots: info.slots,
            running: Endpoints::number(&info.id).map_or(0, |number| endpoints.running[number]),
            own: 0,
            is_movable: plan.is_stream,
        };
        let seen = ServiceLoad::new(&self.registry, (&self.service, &view.id.version), load, now);
        let inputs = RolloutInputs {
            age: view.age,
            duration: view.duration,
            phase: view.phase,
            tally: view.tally,
            capacity: seen.capacity,
            movable: seen.movable,
            has_quorum: (1 + within(SILENCE).count()) * 2 > 1 + members.len(),
            is_clear: self.table.is_clear(&self.service, self.running, members.into_iter()),
        };
        let judge = self.judge.get_or_insert_with(|| Judge::new(plan.bound));
        let decision = judge.decide(&inputs);
        self.table.apply_decision(&self.service, &decision, now)
    }

    /// Leaves the judging to another instance.
    pub fn stop_judging(&mut self) {
        self.judge = None;
        self.table.stop_granting();
    }

    /// Returns a report if one is due.
    pub fn report(&mut self, now: Moment) -> Option<RolloutReport> {
        let own = (&self.name, self.incarnation);
        let report = self.table.report(&self.service, own, self.running)?;
        let fresh = LastReport::new(&report, now);
        if self.reported.is_some_and(|last| !last.is_outdated_by(&fresh)) {
            return None;
        }
        self.reported = Some(fresh);
        Some(report)
    }
}
