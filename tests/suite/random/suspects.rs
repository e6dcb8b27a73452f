//! Model test of a request that crashes engines, among harmless ones, at several instances.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::peer::{PromptHash, Suspect};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::suspects::{Admission, Suspects, TrialId};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::{STEPS, machine_config};

const NODES: usize = 3;
const ENGINES: usize = 4;
const REQUESTS: u8 = 6;
/// Request that crashes engines; its hash sorts in the middle of all hashes.
const CRASHER: u8 = 3;
const TICK: Duration = Duration::from_millis(50);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Ticks between two heartbeats.
const HEARTBEAT_TICKS: u64 = 4;
const GENERATION_TICKS: u64 = 12;

/// One tick of time, with the events of callers and the network in it.
#[derive(Debug, Clone)]
struct Tick {
    submit: Option<(usize, u8)>,
    engine: usize,
    delayed: bool,
}

#[derive(Debug)]
struct Crashers;

impl ReferenceStateMachine for Crashers {
    type State = ();
    type Transition = Tick;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Tick> {
        let submit = proptest::option::of((0..NODES, 0..REQUESTS));
        (submit, 0..ENGINES, any::<bool>())
            .prop_map(|(submit, engine, delayed)| Tick { submit, engine, delayed })
            .boxed()
    }

    fn apply((): (), _tick: &Tick) {}
}

#[derive(Debug, Clone)]
struct Job {
    node: usize,
    request: u8,
    id: TrialId,
    running: Option<(usize, u64)>,
    trial: bool,
}

impl Job {
    /// Returns the ticks until the first token; the crasher never reaches it.
    fn prefill_ticks(&self) -> u64 {
        1 + u64::from(self.request % 3) * 2
    }
}

#[derive(Debug)]
struct World {
    ticks: u64,
    tables: Vec<Suspects>,
    jobs: Vec<Job>,
    in_transit: VecDeque<(u64, usize, Vec<Suspect>)>,
    report_pending: [bool; NODES],
    crashes: u32,
    last_id: TrialId,
}

fn name(node: usize) -> InstanceId {
    InstanceId::new(&format!("node-{node}")).expect("id")
}

fn engine(n: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{n}")).expect("id")
}

fn hash(request: u8) -> PromptHash {
    PromptHash::new([request; 16])
}

impl World {
    fn now(&self) -> Moment {
        Moment::from_millis(60_000).after(TICK * u32::try_from(self.ticks).expect("few ticks"))
    }

    fn submit(&mut self, node: usize, request: u8) {
        // A caller resends its request only after a response.
        if self.jobs.iter().any(|j| j.request == request) {
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        self.jobs.push(Job { node, request, id, running: None, trial: false });
    }

    fn admit_jobs(&mut self, engine: usize) {
        let now = self.now();
        for index in (0..self.jobs.len()).rev() {
            let job = &mut self.jobs[index];
            if job.running.is_some() {
                continue;
            }
            match self.tables[job.node].admission(hash(job.request), job.id, now) {
                Admission::Free => job.running = Some(((engine + index) % ENGINES, 0)),
                Admission::Trial => {
                    job.trial = true;
                    job.running = Some(((engine + index) % ENGINES, 0));
                }
                Admission::Wait => self.report_pending[job.node] = true,
                Admission::Refuse => {
                    assert_eq!(job.request, CRASHER, "refused a harmless request");
                    self.jobs.remove(index);
                }
            }
        }
        let trials = self.jobs.iter().filter(|j| j.trial).count();
        assert!(trials <= 1, "{trials} suspects run at a time");
    }

    fn run_jobs(&mut self) {
        let now = self.now();
        for index in (0..self.jobs.len()).rev() {
            let job = &mut self.jobs[index];
            let Some((_, age)) = &mut job.running else { continue };
            *age += 1;
            let age = *age;
            let table = &mut self.tables[job.node];
            if age == job.prefill_ticks() && job.request != CRASHER {
                table.clear(hash(job.request), false, now);
                table.end(job.id);
                job.trial = false;
            }
            if age >= GENERATION_TICKS {
                table.clear(hash(job.request), true, now);
                self.jobs.remove(index);
            }
        }
        let is_crashing =
            |j: &&Job| j.request == CRASHER && j.running.is_some_and(|(_, age)| age >= 2);
        if let Some((crashed, _)) = self.jobs.iter().find(is_crashing).and_then(|j| j.running) {
            self.crash(crashed);
        }
    }

    fn crash(&mut self, crashed: usize) {
        let now = self.now();
        self.crashes += 1;
        for index in (0..self.jobs.len()).rev() {
            let job = &mut self.jobs[index];
            let Some((n, age)) = job.running.filter(|(n, _)| *n == crashed) else { continue };
            let before_first_token = job.request == CRASHER || age < job.prefill_ticks();
            let table = &mut self.tables[job.node];
            table.crash(hash(job.request), job.id, &engine(n), before_first_token, now);
            table.end(job.id);
            self.report_pending[job.node] = true;
            job.running = None;
            job.trial = false;
            if !before_first_token {
                self.jobs.remove(index);
            }
        }
    }

    fn exchange_reports(&mut self, delayed: bool) {
        let now = self.now();
        for node in 0..NODES {
            let heartbeat_due = (self.ticks + node as u64).is_multiple_of(HEARTBEAT_TICKS);
            if heartbeat_due || std::mem::take(&mut self.report_pending[node]) {
                let suspects = self.tables[node].report(now);
                self.in_transit.push_back((self.ticks + u64::from(delayed), node, suspects));
            }
        }
        while self.in_transit.front().is_some_and(|(due, ..)| *due <= self.ticks) {
            let Some((_, from, suspects)) = self.in_transit.pop_front() else { return };
            for node in (0..NODES).filter(|n| *n != from) {
                self.tables[node].apply_report(&name(from), &suspects, now);
            }
        }
    }
}

impl StateMachineTest for Crashers {
    type SystemUnderTest = World;
    type Reference = Self;

    fn init_test((): &()) -> World {
        World {
            ticks: 0,
            tables: (0..NODES).map(|n| Suspects::new(&name(n), HEARTBEAT_INTERVAL)).collect(),
            jobs: Vec::new(),
            in_transit: VecDeque::new(),
            report_pending: [false; NODES],
            crashes: 0,
            last_id: 0,
        }
    }

    fn apply(mut state: World, (): &(), transition: Tick) -> World {
        state.ticks += 1;
        if let Some((node, request)) = transition.submit {
            state.submit(node, request);
        }
        state.admit_jobs(transition.engine);
        state.run_jobs();
        state.exchange_reports(transition.delayed);
        state
    }

    fn check_invariants(state: &World, (): &()) {
        assert!(state.crashes <= 2, "{} engines lost", state.crashes);
    }
}

// Guards against a request that crashes one engine after another. Its caller resends it at any
// instance while harmless requests run beside it, wait with it for a retry and are resent too. The
// fleet loses two engines at most, one suspect runs at a time, and no harmless request is refused.
proptest_state_machine::prop_state_machine! {
    #![proptest_config(machine_config("suspects"))]

    #[test]
    fn crasher_costs_two_engines(sequential STEPS..STEPS + 1 => Crashers);
}
