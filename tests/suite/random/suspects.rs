//! A request that crashes engines among others, at several instances.

use std::collections::VecDeque;
use std::time::Duration;

use nutmeggrade_core::peer::{PromptHash, Suspect};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::suspects::{Gate, Suspects, TrialId};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::{STEPS, machine};

const NODES: usize = 3;
const ENGINES: usize = 4;
const REQUESTS: u8 = 6;
/// The request that crashes engines, in the middle of the order of hashes.
const CRASHER: u8 = 3;
const TICK: Duration = Duration::from_millis(50);
const BEACON: Duration = Duration::from_millis(200);
/// Ticks between two heartbeats.
const BEAT: u64 = 4;
const WHOLE: u64 = 12;

/// One tick of time, with what callers and the network do in it.
#[derive(Debug, Clone)]
struct Tick {
    ask: Option<(usize, u8)>,
    engine: usize,
    late: bool,
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
        let ask = proptest::option::of((0..NODES, 0..REQUESTS));
        (ask, 0..ENGINES, any::<bool>())
            .prop_map(|(ask, engine, late)| Tick { ask, engine, late })
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
    /// Ticks until the first token; the crasher's comes never.
    fn prefill(&self) -> u64 {
        1 + u64::from(self.request % 3) * 2
    }
}

#[derive(Debug)]
struct World {
    ticks: u64,
    tables: Vec<Suspects>,
    jobs: Vec<Job>,
    post: VecDeque<(u64, usize, Vec<Suspect>)>,
    news: [bool; NODES],
    crashes: u32,
    next: TrialId,
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

    fn ask(&mut self, node: usize, request: u8) {
        // A caller sends its request again once it has an answer.
        if self.jobs.iter().any(|j| j.request == request) {
            return;
        }
        self.next += 1;
        let id = self.next;
        self.jobs.push(Job { node, request, id, running: None, trial: false });
    }

    fn pass(&mut self, engine: usize) {
        let now = self.now();
        for index in (0..self.jobs.len()).rev() {
            let job = &mut self.jobs[index];
            if job.running.is_some() {
                continue;
            }
            match self.tables[job.node].gate(hash(job.request), job.id, now) {
                Gate::Free => job.running = Some(((engine + index) % ENGINES, 0)),
                Gate::Trial => {
                    job.trial = true;
                    job.running = Some(((engine + index) % ENGINES, 0));
                }
                Gate::Wait => self.news[job.node] = true,
                Gate::Refuse => {
                    assert_eq!(job.request, CRASHER, "refused an innocent request");
                    self.jobs.remove(index);
                }
            }
        }
        let trials = self.jobs.iter().filter(|j| j.trial).count();
        assert!(trials <= 1, "{trials} suspects run at a time");
    }

    fn work(&mut self) {
        let now = self.now();
        for index in (0..self.jobs.len()).rev() {
            let job = &mut self.jobs[index];
            let Some((_, age)) = &mut job.running else { continue };
            *age += 1;
            let age = *age;
            let table = &mut self.tables[job.node];
            if age == job.prefill() && job.request != CRASHER {
                table.clear(hash(job.request), false, now);
                table.end(job.id);
                job.trial = false;
            }
            if age >= WHOLE {
                table.clear(hash(job.request), true, now);
                self.jobs.remove(index);
            }
        }
        let reads = |j: &&Job| j.request == CRASHER && j.running.is_some_and(|(_, age)| age >= 2);
        if let Some((down, _)) = self.jobs.iter().find(reads).and_then(|j| j.running) {
            self.crash(down);
        }
    }

    fn crash(&mut self, down: usize) {
        let now = self.now();
        self.crashes += 1;
        for index in (0..self.jobs.len()).rev() {
            let job = &mut self.jobs[index];
            let Some((on, age)) = job.running.filter(|(on, _)| *on == down) else { continue };
            let first = job.request == CRASHER || age < job.prefill();
            let table = &mut self.tables[job.node];
            table.crash(hash(job.request), job.id, &engine(on), first, now);
            table.end(job.id);
            self.news[job.node] = true;
            job.running = None;
            job.trial = false;
            if !first {
                self.jobs.remove(index);
            }
        }
    }

    fn talk(&mut self, late: bool) {
        let now = self.now();
        for node in 0..NODES {
            let beat = (self.ticks + node as u64).is_multiple_of(BEAT);
            if beat || std::mem::take(&mut self.news[node]) {
                let told = self.tables[node].report(now);
                self.post.push_back((self.ticks + u64::from(late), node, told));
            }
        }
        while self.post.front().is_some_and(|(due, ..)| *due <= self.ticks) {
            let Some((_, from, told)) = self.post.pop_front() else { return };
            for node in (0..NODES).filter(|n| *n != from) {
                self.tables[node].apply_report(&name(from), &told, now);
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
            tables: (0..NODES).map(|n| Suspects::new(&name(n), BEACON)).collect(),
            jobs: Vec::new(),
            post: VecDeque::new(),
            news: [false; NODES],
            crashes: 0,
            next: 0,
        }
    }

    fn apply(mut state: World, (): &(), transition: Tick) -> World {
        state.ticks += 1;
        if let Some((node, request)) = transition.ask {
            state.ask(node, request);
        }
        state.pass(transition.engine);
        state.work();
        state.talk(transition.late);
        state
    }

    fn check_invariants(state: &World, (): &()) {
        assert!(state.crashes <= 2, "{} engines lost", state.crashes);
    }
}

// One request takes down every engine that reads it, and its caller sends it again at any instance;
// others run beside it, wait with it for another try, and are sent again too. The fleet loses two
// engines at most, one suspect runs at a time, and nobody else is refused.
proptest_state_machine::prop_state_machine! {
    #![proptest_config(machine("suspects"))]

    #[test]
    fn crasher_costs_two_engines(sequential STEPS..STEPS + 1 => Crashers);
}
