//! The play itself.

mod traffic;

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{
    RolloutId, RolloutNotice, RolloutOrder, RolloutPhase, RolloutReport,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use self::traffic::Running;
use super::endpoints::Endpoints;
use super::instance::Instance;
use super::plan::{Fault, Plan};
use super::referee::{Referee, Report};
use super::store::Store;

const STEP: Duration = Duration::from_millis(20);
/// When the order is given, after all instances have started.
const ORDERED: Moment = Moment::from_millis(3_000);
/// Time after the end of an order for which it is played on.
const AFTERWARDS: Duration = Duration::from_secs(50);
/// How long faults last.
const AWAY: Duration = Duration::from_secs(6);
const RESTART: Duration = Duration::from_millis(1_500);
/// Steps between two looks at the roll-out, and between two heartbeats.
const LOOK: u64 = 5;
const BEAT: u64 = 12;
/// Instances whose heartbeats go to everybody.
const STANDBY: usize = 6;
/// Instances that judge or are next to do so, and those that read the store.
const READERS: usize = 3;
/// Part of the messages that are lost.
const LOST: f64 = 0.02;

#[derive(Debug, Clone)]
enum Message {
    Beat(usize, Vec<RolloutNotice>),
    Notice(RolloutNotice),
    Report(Box<RolloutReport>),
}

#[derive(Debug)]
struct World {
    plan: Plan,
    rng: ChaCha8Rng,
    service: ServiceId,
    names: Vec<InstanceId>,
    instances: Vec<Instance>,
    endpoints: Endpoints,
    running: Vec<Running>,
    mail: BTreeMap<(Moment, u64), (usize, Message)>,
    sent: u64,
    store: Store,
    referee: Referee,
    has_stopped: bool,
}

/// Plays a roll-out to its end.
pub fn play(plan: &Plan) -> anyhow::Result<Report> {
    let mut world = World::new(plan)?;
    let end = ORDERED.after(plan.duration + AFTERWARDS);
    let (mut now, mut step) = (Moment::ZERO, 0);
    while now < end && !(world.store.phase().is_over() && now > ORDERED.after(plan.duration)) {
        world.step(step, now);
        now = now.after(STEP);
        step += 1;
    }
    Ok(world.referee.report(&world.store.written, ORDERED))
}

impl World {
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
            names: instances.iter().map(|i| i.name.clone()).collect(),
            endpoints: Endpoints::new(plan, &domains, &service)?,
            service,
            instances,
            running: Vec::new(),
            mail: BTreeMap::new(),
            sent: 0,
            store: Store::new(&order),
            referee: Referee::new(plan),
            has_stopped: false,
        })
    }

    fn step(&mut self, step: u64, now: Moment) {
        let age = now.since(ORDERED);
        self.faults(now);
        self.deliver(now);
        for number in 0..self.instances.len() {
            if !self.instances[number].is_up {
                continue;
            }
            if step % LOOK == number as u64 % LOOK {
                self.look(number, age, now);
            }
            if step % BEAT == number as u64 % BEAT {
                self.beat(number, now);
            }
        }
        self.progress(age, now);
        self.arrive(age, now);
    }

    /// Says whether the plan's fault strikes now.
    fn strikes(&self, fault: Fault, now: Moment, lasts: Duration) -> bool {
        let since = now.since(ORDERED);
        let is_on = since >= self.plan.fault_at && since < self.plan.fault_at + lasts;
        self.plan.fault == fault && is_on && now >= ORDERED
    }

    fn faults(&mut self, now: Moment) {
        let (all, judge) = (
            self.strikes(Fault::AllKilled, now, RESTART),
            self.strikes(Fault::JudgeKilled, now, RESTART),
        );
        for number in 0..self.instances.len() {
            let is_down = all || (judge && number == 0);
            if is_down && self.instances[number].is_up {
                self.instances[number].is_up = false;
                self.cut(number);
            } else if !is_down && !self.instances[number].is_up {
                self.instances[number].restart();
                // Whoever starts reads the store before it takes requests.
                self.read(number, now);
            }
        }
    }

    /// Drops all requests of an instance.
    fn cut(&mut self, instance: usize) {
        for request in self.running.iter().filter(|r| r.instance == instance) {
            self.endpoints.running[request.endpoint] -= 1;
        }
        self.running.retain(|r| r.instance != instance);
    }

    fn read(&mut self, number: usize, now: Moment) {
        if now >= ORDERED && !self.strikes(Fault::StoreAway, now, AWAY) {
            let changed = self.instances[number].table.put(&self.store.object, now);
            if let Some(notice) = changed {
                self.tell(number, &notice, now);
            }
        }
    }

    fn look(&mut self, number: usize, age: Duration, now: Moment) {
        if number < READERS {
            self.read(number, now);
        }
        let Self { instances, endpoints, names, plan, .. } = self;
        let instance = &mut instances[number];
        instance.refresh(endpoints, age, now);
        let is_first = instance.is_first(number, now);
        let decided = if is_first { instance.decide(names, endpoints, plan, now) } else { None };
        if !is_first {
            instance.stop_judging();
        }
        if let Some(notice) = decided {
            self.tell(number, &notice, now);
        }
        if let Some(report) = self.instances[number].report(now) {
            for judge in (0..READERS.min(self.instances.len())).filter(|j| *j != number) {
                self.send(number, judge, Message::Report(Box::new(report.clone())), now);
            }
        }
        if is_first && !self.strikes(Fault::StoreAway, now, AWAY) {
            for change in self.instances[number].table.unwritten_states() {
                self.store.write(&change, now);
                self.read(number, now);
            }
            self.stop_old(now);
        }
        let instance = &mut self.instances[number];
        instance.registry.set_versions(instance.table.rules(now));
    }

    /// Has the old endpoints stop without draining once the store says that the new version serves.
    fn stop_old(&mut self, now: Moment) {
        if self.has_stopped || self.store.phase() != RolloutPhase::Completed {
            return;
        }
        self.has_stopped = true;
        let old = |r: &&Running| !self.endpoints.is_new(r.endpoint) && r.end > now;
        let cut = self.running.iter().filter(old).count();
        self.referee.stopped(u32::try_from(cut).unwrap_or(u32::MAX));
    }

    fn beat(&mut self, number: usize, now: Moment) {
        let notices = self.instances[number].table.notices(now);
        let everybody = self.instances.len();
        let reached = if number < STANDBY { everybody } else { STANDBY.min(everybody) };
        for peer in (0..reached).filter(|p| *p != number) {
            self.send(number, peer, Message::Beat(number, notices.clone()), now);
        }
    }

    fn tell(&mut self, number: usize, notice: &RolloutNotice, now: Moment) {
        for peer in (0..self.instances.len()).filter(|p| *p != number) {
            self.send(number, peer, Message::Notice(notice.clone()), now);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, now: Moment) {
        let is_near = self.instances[from].domain == self.instances[to].domain;
        let touches = [from, to].into_iter().any(|i| self.instances[i].domain == 1);
        let is_cut = !is_near && touches && self.strikes(Fault::DomainCut, now, AWAY);
        if is_cut || self.rng.random_bool(LOST) {
            return;
        }
        let due = now.after(Duration::from_millis(self.rng.random_range(2..20)));
        self.sent += 1;
        self.mail.insert((due, self.sent), (to, message));
    }

    fn deliver(&mut self, now: Moment) {
        let later = self.mail.split_off(&(now, u64::MAX));
        for (to, message) in std::mem::replace(&mut self.mail, later).into_values() {
            let instance = &mut self.instances[to];
            if !instance.is_up {
                continue;
            }
            match message {
                Message::Beat(from, notices) => {
                    instance.heard[from] = Some(now);
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
