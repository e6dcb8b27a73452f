//! A simulated instance: the product's rollout table, registry and judge.

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

/// Time without heartbeats after which the next instance becomes the judge.
const JUDGE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without heartbeats after which a peer no longer counts towards the quorum.
const PEER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without heartbeats after which a peer is no longer a member.
const MEMBER_TIMEOUT: Duration = Duration::from_secs(30);

/// A simulated instance.
#[derive(Debug)]
pub struct Instance {
    /// Instance id.
    pub name: InstanceId,
    /// Index of its failure domain.
    pub domain: usize,
    /// Whether the process is running.
    pub is_up: bool,
    /// Number of starts so far.
    pub incarnation: u64,
    /// Rollout table.
    pub table: RolloutTable,
    /// Endpoint registry.
    pub registry: Registry,
    /// Number of its running requests at the old version.
    pub running: u32,
    /// Time of the last heartbeat from each peer since the last start.
    pub last_heard: Vec<Option<Moment>>,
    service: ServiceId,
    /// The judge, and when this instance became responsible.
    judge: Option<(Judge, Moment)>,
    last_report: Option<LastReport>,
}

impl Instance {
    /// Creates a running instance with empty tables.
    pub fn new(number: usize, instances: usize, service: &ServiceId) -> anyhow::Result<Self> {
        Ok(Self {
            name: InstanceId::new(&format!("i-{number:03}"))?,
            domain: number % 3,
            is_up: true,
            incarnation: 1,
            table: RolloutTable::new(),
            registry: Registry::new(),
            running: 0,
            last_heard: vec![None; instances],
            service: service.clone(),
            judge: None,
            last_report: None,
        })
    }

    /// Restarts the instance with empty tables.
    pub fn restart(&mut self) {
        self.is_up = true;
        self.incarnation += 1;
        self.table = RolloutTable::new();
        self.registry = Registry::new();
        self.running = 0;
        self.last_heard.fill(None);
        self.judge = None;
        self.last_report = None;
    }

    /// Updates the registry to the registered endpoints and the table's version rules.
    pub fn refresh(&mut self, endpoints: &Endpoints, age: Duration, now: Moment) {
        let registered = endpoints.registered(age);
        if self.registry.all().count() != registered.len() {
            self.registry.replace(registered, false, now);
        }
        self.registry.set_versions(self.table.rules(now));
    }

    /// Returns the candidate endpoints of a request. `draw` is a random number between 0 and 1 that
    /// decides whether the request goes to a canary.
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

    /// Returns whether it is the judge: no instance with a lower number sends heartbeats.
    pub fn is_judge(&self, own_number: usize, now: Moment) -> bool {
        let is_alive = |at: &Option<Moment>| at.is_some_and(|at| now.since(at) <= JUDGE_TIMEOUT);
        !self.last_heard[..own_number].iter().any(is_alive)
    }

    /// Evaluates the rollout as its judge; returns the notice to broadcast, if the state changed.
    pub fn decide(
        &mut self,
        peers: &[InstanceId],
        endpoints: &Endpoints,
        plan: &Plan,
        now: Moment,
    ) -> Option<RolloutNotice> {
        let (judge, since) = self.judge.get_or_insert_with(|| (Judge::new(plan.bound), now));
        let view = self.table.view(&self.service, now).filter(|v| !v.phase.is_over())?;
        let heard_within = |timeout| {
            let is_alive = move |at: &Option<Moment>| at.is_some_and(|at| now.since(at) <= timeout);
            self.last_heard.iter().enumerate().filter(move |(_, at)| is_alive(at)).map(|(i, _)| i)
        };
        let members: Vec<&InstanceId> = heard_within(MEMBER_TIMEOUT).map(|i| &peers[i]).collect();
        let load = |info: &EndpointInfo| EndpointLoad {
            slots: info.slots,
            running: Endpoints::number(&info.id).map_or(0, |number| endpoints.running[number]),
            own: 0,
            is_engine: plan.is_stream,
        };
        let is_counted = |at: &Option<Moment>| {
            at.is_some_and(|at| at >= *since && now.since(at) <= PEER_TIMEOUT)
        };
        let heard = 1 + self.last_heard.iter().filter(|at| is_counted(at)).count();
        let service_load =
            ServiceLoad::new(&self.registry, (&self.service, &view.id.version), load, now);
        let inputs = RolloutInputs {
            age: view.age,
            duration: view.duration,
            phase: view.phase,
            tally: view.tally,
            capacity: service_load.capacity,
            generations: service_load.generations,
            has_quorum: heard * 2 > 1 + members.len(),
            is_clear: self.table.is_clear(&self.service, self.running, members.into_iter()),
        };
        let ruling = judge.decide(&inputs);
        self.table.apply_decision(&self.service, &ruling, now)
    }

    /// Drops the judge state, because another instance is the judge.
    pub fn stop_judging(&mut self) {
        self.judge = None;
        self.table.stop_granting();
    }

    /// Returns the next report to the judge, if one is due.
    pub fn report(&mut self, now: Moment) -> Option<RolloutReport> {
        let own = (&self.name, self.incarnation);
        let report = self.table.report(&self.service, own, self.running)?;
        let next = LastReport::new(&report, now);
        if self.last_report.is_some_and(|last| !last.is_outdated_by(&next)) {
            return None;
        }
        self.last_report = Some(next);
        Some(report)
    }
}
