//! The simulation loop: faults, messages, judging and requests.

mod traffic;

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{
    RolloutId, RolloutNotice, RolloutOrder, RolloutPhase, RolloutReport,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::traffic::RunningRequest;
use super::endpoints::Endpoints;
use super::evaluation::{Evaluator, Report};
use super::instance::Instance;
use super::plan::{Fault, Plan};
use super::store::Store;

const STEP: Duration = Duration::from_millis(20);
/// Time of the order, after all instances have started.
const ORDERED_AT: Moment = Moment::from_millis(3_000);
/// Time past the order's duration after which the simulation ends at the latest.
const MAX_OVERTIME: Duration = Duration::from_secs(50);
/// Duration of a partition or a store outage.
const OUTAGE: Duration = Duration::from_secs(6);
/// Time from an instance's kill to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
/// Steps between two evaluations of the rollout by an instance.
const EVALUATION_STEPS: u64 = 5;
/// Steps between two heartbeats of an instance.
const HEARTBEAT_STEPS: u64 = 12;
/// Number of instances that send heartbeats to all instances and receive those of all others.
const HEARTBEAT_HUBS: usize = 6;
/// Number of instances that are the judge or next in line; only these read the store regularly.
const JUDGE_CANDIDATES: usize = 3;
/// Share of the messages that are lost.
const MESSAGE_LOSS: f64 = 0.02;

#[derive(Debug, Clone)]
enum Message {
    Heartbeat(usize, Vec<RolloutNotice>),
    Notice(RolloutNotice),
    Report(Box<RolloutReport>),
}

#[derive(Debug)]
struct Simulation {
    plan: Plan,
    rng: ChaCha8Rng,
    service: ServiceId,
    ids: Vec<InstanceId>,
    instances: Vec<Instance>,
    endpoints: Endpoints,
    running: Vec<RunningRequest>,
    /// Messages in flight with their recipients, by arrival time and number.
    in_flight: BTreeMap<(Moment, u64), (usize, Message)>,
    message_count: u64,
    store: Store,
    evaluator: Evaluator,
    old_stopped: bool,
}

/// Simulates a rollout until it is decided and its duration is over, or to the time limit.
pub fn simulate(plan: &Plan) -> anyhow::Result<Report> {
    let mut simulation = Simulation::new(plan)?;
    let end = ORDERED_AT.after(plan.duration + MAX_OVERTIME);
    let (mut now, mut step) = (Moment::ZERO, 0);
    while now < end
        && !(simulation.store.phase().is_over() && now > ORDERED_AT.after(plan.duration))
    {
        simulation.step(step, now);
        now = now.after(STEP);
        step += 1;
    }
    Ok(simulation.evaluator.report(&simulation.store.written, ORDERED_AT))
}

impl Simulation {
    fn new(plan: &Plan) -> anyhow::Result<Self> {
        let service = ServiceId::new("desk")?;
        let domains = ["a", "b", "c"].map(DomainId::new);
        let domains = domains.into_iter().collect::<Result<Vec<_>, _>>()?;
        let instances = (0..plan.instances).map(|n| Instance::new(n, plan.instances, &service));
        let instances = instances.collect::<anyhow::Result<Vec<_>>>()?;
        let id = RolloutId { created: 10, version: VersionId::new("v2")? };
        let order = RolloutOrder { service: service.clone(), id, duration: plan.duration };
        Ok(Self {
            plan: plan.clone(),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            ids: instances.iter().map(|i| i.name.clone()).collect(),
            endpoints: Endpoints::new(plan, &domains, &service)?,
            service,
            instances,
            running: Vec::new(),
            in_flight: BTreeMap::new(),
            message_count: 0,
            store: Store::new(&order),
            evaluator: Evaluator::new(plan),
            old_stopped: false,
        })
    }

    fn step(&mut self, step: u64, now: Moment) {
        let age = now.since(ORDERED_AT);
        self.apply_faults(now);
        self.deliver_messages(now);
        for number in 0..self.instances.len() {
            if !self.instances[number].is_up {
                continue;
            }
            if step % EVALUATION_STEPS == number as u64 % EVALUATION_STEPS {
                self.evaluate(number, age, now);
            }
            if step % HEARTBEAT_STEPS == number as u64 % HEARTBEAT_STEPS {
                self.send_heartbeat(number, now);
            }
        }
        self.advance_requests(age, now);
        self.add_requests(age, now);
    }

    /// Returns whether the plan's fault is `fault` and is active now.
    fn is_active(&self, fault: Fault, now: Moment, duration: Duration) -> bool {
        let since = now.since(ORDERED_AT);
        let is_in_period = since >= self.plan.fault_at && since < self.plan.fault_at + duration;
        self.plan.fault == fault && is_in_period && now >= ORDERED_AT
    }

    fn apply_faults(&mut self, now: Moment) {
        let (all_killed, judge_killed) = (
            self.is_active(Fault::AllKilled, now, RESTART_DELAY),
            self.is_active(Fault::JudgeKilled, now, RESTART_DELAY),
        );
        for number in 0..self.instances.len() {
            let is_down = all_killed || (judge_killed && number == 0);
            if is_down && self.instances[number].is_up {
                self.instances[number].is_up = false;
                self.drop_requests(number);
            } else if !is_down && !self.instances[number].is_up {
                self.instances[number].restart();
                // A starting instance reads the store before it accepts requests.
                self.read_store(number, now);
            }
        }
    }

    /// Drops all requests of an instance.
    fn drop_requests(&mut self, instance: usize) {
        for request in self.running.iter().filter(|r| r.instance == instance) {
            self.endpoints.running[request.endpoint] -= 1;
        }
        self.running.retain(|r| r.instance != instance);
    }

    /// Updates an instance's table from the store, unless the store is unavailable.
    fn read_store(&mut self, number: usize, now: Moment) {
        if now >= ORDERED_AT && !self.is_active(Fault::StoreUnavailable, now, OUTAGE) {
            let notice = self.instances[number].table.put(&self.store.object, now);
            if let Some(notice) = notice {
                self.broadcast(number, &notice, now);
            }
        }
    }

    /// Runs an instance's periodic rollout work: refresh, judging, reports and state writes.
    fn evaluate(&mut self, number: usize, age: Duration, now: Moment) {
        if number < JUDGE_CANDIDATES {
            self.read_store(number, now);
        }
        let Self { instances, endpoints, ids, plan, .. } = self;
        let instance = &mut instances[number];
        instance.refresh(endpoints, age, now);
        let is_judge = instance.is_judge(number, now);
        let notice = if is_judge { instance.decide(ids, endpoints, plan, now) } else { None };
        if !is_judge {
            instance.stop_judging();
        }
        if let Some(notice) = notice {
            self.broadcast(number, &notice, now);
        }
        if let Some(report) = self.instances[number].report(now) {
            for judge in (0..JUDGE_CANDIDATES.min(self.instances.len())).filter(|j| *j != number) {
                self.send(number, judge, Message::Report(Box::new(report.clone())), now);
            }
        }
        if is_judge && !self.is_active(Fault::StoreUnavailable, now, OUTAGE) {
            for change in self.instances[number].table.unwritten_states() {
                self.store.write(&change, now);
                self.read_store(number, now);
            }
            self.stop_old(now);
        }
        let instance = &mut self.instances[number];
        instance.registry.set_versions(instance.table.rules(now));
    }

    /// Stops the old endpoints without draining once the store records the rollout as completed.
    fn stop_old(&mut self, now: Moment) {
        if self.old_stopped || self.store.phase() != RolloutPhase::Completed {
            return;
        }
        self.old_stopped = true;
        let is_outdated_by =
            |r: &&RunningRequest| !self.endpoints.is_new(r.endpoint) && r.end > now;
        let interrupted = self.running.iter().filter(is_outdated_by).count();
        self.evaluator.count_interrupted(u32::try_from(interrupted).unwrap_or(u32::MAX));
    }

    fn send_heartbeat(&mut self, number: usize, now: Moment) {
        let notices = self.instances[number].table.notices(now);
        let count = self.instances.len();
        let reached = if number < HEARTBEAT_HUBS { count } else { HEARTBEAT_HUBS.min(count) };
        for peer in (0..reached).filter(|p| *p != number) {
            self.send(number, peer, Message::Heartbeat(number, notices.clone()), now);
        }
    }

    fn broadcast(&mut self, number: usize, notice: &RolloutNotice, now: Moment) {
        for peer in (0..self.instances.len()).filter(|p| *p != number) {
            self.send(number, peer, Message::Notice(notice.clone()), now);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now: Moment) {
        let is_same_domain = self.instances[from].domain == self.instances[to].domain;
        let crosses_partition = [from, to].into_iter().any(|i| self.instances[i].domain == 1);
        let is_cut = !is_same_domain
            && crosses_partition
            && self.is_active(Fault::DomainPartitioned, now, OUTAGE);
        if is_cut || self.rng.random_bool(MESSAGE_LOSS) {
            return;
        }
        let arrival = now.after(Duration::from_millis(self.rng.random_range(2..20)));
        self.message_count += 1;
        self.in_flight.insert((arrival, self.message_count), (to, message));
    }

    fn deliver_messages(&mut self, now: Moment) {
        let later = self.in_flight.split_off(&(now, u64::MAX));
        for (to, message) in std::mem::replace(&mut self.in_flight, later).into_values() {
            let instance = &mut self.instances[to];
            if !instance.is_up {
                continue;
            }
            match message {
                Message::Heartbeat(from, notices) => {
                    instance.last_heard[from] = Some(now);
                    for notice in notices {
                        instance.table.receive_notice(&notice, now);
                    }
                }
                Message::Notice(notice) => drop(instance.table.receive_notice(&notice, now)),
                Message::Report(report) => instance.table.take_report(&report),
            }
            instance.registry.set_versions(instance.table.rules(now));
        }
    }
}
