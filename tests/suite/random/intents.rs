//! Non-idempotent calls at several instances, with every failure of the platform and the service.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;
use nutmeggrade_state::claiming::{ClaimStep, Claiming, StoreResponse};
use nutmeggrade_state::intent::{Claim, Intent, Owner, Progress};
use nutmeggrade_state::own_intents::OwnIntents;
use nutmeggrade_state::recorded::RecordedAnswer;
use nutmeggrade_state::settling::{SettleStep, Settling};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::{STEPS, machine};

const NODES: usize = 3;
const KEYS: usize = 2;

/// What befalls a write.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Works,
    AnswerLost,
    Late,
    Dropped,
    Refused,
}

/// What befalls a call of the service.
#[derive(Debug, Clone, Copy)]
enum Served {
    Answers,
    AnswerLost,
    RunsLate,
    Refuses,
}

#[derive(Debug, Clone)]
enum Event {
    /// A caller asks with a key at an instance.
    Ask { node: usize, key: usize },
    /// One attempt or settlement takes its next step.
    Step { task: usize, fate: Fate, served: Served, seen: bool },
    /// A write that was on its way takes effect.
    Arrive { write: usize },
    /// A call that was on its way runs.
    RunLate { call: usize },
    /// An instance dies and starts again under the same name.
    Kill { node: usize },
}

#[derive(Debug)]
struct Calls;

impl ReferenceStateMachine for Calls {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        let fate = prop_oneof![
            6 => Just(Fate::Works),
            2 => Just(Fate::AnswerLost),
            2 => Just(Fate::Late),
            1 => Just(Fate::Dropped),
            1 => Just(Fate::Refused),
        ];
        let served = prop_oneof![
            2 => Just(Served::Answers),
            1 => Just(Served::AnswerLost),
            1 => Just(Served::RunsLate),
            4 => Just(Served::Refuses),
        ];
        let step = (any::<usize>(), fate, served, any::<bool>())
            .prop_map(|(task, fate, served, seen)| Event::Step { task, fate, served, seen });
        prop_oneof![
            4 => (0..NODES, 0..KEYS).prop_map(|(node, key)| Event::Ask { node, key }),
            20 => step,
            3 => any::<usize>().prop_map(|write| Event::Arrive { write }),
            2 => any::<usize>().prop_map(|call| Event::RunLate { call }),
            1 => (0..NODES).prop_map(|node| Event::Kill { node }),
        ]
        .boxed()
    }

    fn apply((): (), _event: &Event) {}
}

#[derive(Debug)]
enum Work {
    Claim(Claiming),
    Send { intent: Intent, version: u64 },
    Settle { settling: Settling, answered: bool },
}

#[derive(Debug)]
struct Task {
    node: usize,
    key: usize,
    work: Work,
}

#[derive(Debug, Clone)]
struct Write {
    key: usize,
    expected: Option<u64>,
    intent: Intent,
}

/// Instances, the platform and the service on one thread.
#[derive(Debug, Default)]
struct World {
    lives: [u64; NODES],
    tables: [OwnIntents; NODES],
    tasks: Vec<Task>,
    records: BTreeMap<usize, (u64, Intent)>,
    writes: Vec<Write>,
    calls: Vec<usize>,
    ran: [u32; KEYS],
    answers: BTreeMap<usize, RecordedAnswer>,
    drawn: u8,
    nonces: u64,
}

impl World {
    fn ask(&mut self, node: usize, key: usize) {
        self.nonces += 1;
        let nonce = GenerationId::new((u128::from(self.nonces)).to_be_bytes());
        let name = InstanceId::new(&format!("node-{node}")).expect("id");
        let intent = Intent::new(nonce, &name, self.lives[node], "request");
        self.tables[node].begin(nonce);
        self.tasks.push(Task { node, key, work: Work::Claim(Claiming::new(intent)) });
    }

    fn write(&mut self, write: Write, fate: Fate) -> StoreResponse {
        match fate {
            Fate::Works => self.apply(&write),
            Fate::AnswerLost => {
                self.apply(&write);
                StoreResponse::Lost
            }
            Fate::Late => {
                self.writes.push(write);
                StoreResponse::Lost
            }
            Fate::Dropped => StoreResponse::Lost,
            Fate::Refused => StoreResponse::Refused,
        }
    }

    fn apply(&mut self, write: &Write) -> StoreResponse {
        let found = self.records.get(&write.key).map(|(v, _)| *v);
        if found != write.expected {
            return StoreResponse::Conflict;
        }
        let version = found.unwrap_or(0) + 1;
        self.records.insert(write.key, (version, write.intent.clone()));
        StoreResponse::Written(version)
    }

    fn read(&self, node: usize, key: usize, fate: Fate, seen: bool) -> StoreResponse {
        if !matches!(fate, Fate::Works | Fate::Late) {
            return StoreResponse::Lost;
        }
        let Some((version, intent)) = self.records.get(&key) else { return StoreResponse::Absent };
        StoreResponse::Found(Box::new(intent.clone()), *version, self.owner(node, intent, seen))
    }

    /// Another instance may look gone while it is only paused, or live after it died.
    fn owner(&self, node: usize, intent: &Intent, seen: bool) -> Owner {
        let own = intent.instance.as_str() == format!("node-{node}");
        if own && intent.incarnation == self.lives[node] {
            return self.tables[node].owner(intent.nonce);
        }
        if seen && !own { Owner::Busy } else { Owner::Gone }
    }

    fn step(&mut self, index: usize, fate: Fate, served: Served, seen: bool) {
        if self.tasks.is_empty() {
            return;
        }
        let mut task = self.tasks.swap_remove(index % self.tasks.len());
        let (node, key) = (task.node, task.key);
        let next = match task.work {
            Work::Claim(claiming) => self.claim(node, key, claiming, fate, seen),
            Work::Send { intent, version } => Some(self.send(node, key, intent, version, served)),
            Work::Settle { settling, answered } => {
                self.settle(node, key, settling, answered, (fate, seen))
            }
        };
        if let Some(work) = next {
            task.work = work;
            self.tasks.push(task);
        }
    }

    fn claim(
        &mut self,
        node: usize,
        key: usize,
        mut claiming: Claiming,
        fate: Fate,
        seen: bool,
    ) -> Option<Work> {
        let nonce = claiming.intent().nonce;
        let intent = claiming.intent().clone();
        match claiming.step().clone() {
            ClaimStep::Create => {
                claiming.apply(self.write(Write { key, expected: None, intent }, fate));
            }
            ClaimStep::Replace(version) => {
                let expected = Some(version);
                claiming.apply(self.write(Write { key, expected, intent }, fate));
            }
            ClaimStep::Read => claiming.apply(self.read(node, key, fate, seen)),
            ClaimStep::Decided(Claim::Send, version) => {
                self.tables[node].claimed(nonce);
                return Some(Work::Send { intent, version });
            }
            ClaimStep::Decided(claim, _) => {
                self.tables[node].settle(nonce);
                self.told(key, &claim);
                return None;
            }
            ClaimStep::GaveUp { doubt: true } => {
                self.tables[node].end(nonce, Progress::Released);
                let settling = Settling::new(intent.with_progress(Progress::Released), None);
                return Some(Work::Settle { settling, answered: true });
            }
            ClaimStep::GaveUp { doubt: false } => {
                self.tables[node].settle(nonce);
                return None;
            }
        }
        Some(Work::Claim(claiming))
    }

    fn send(
        &mut self,
        node: usize,
        key: usize,
        intent: Intent,
        version: u64,
        served: Served,
    ) -> Work {
        self.tables[node].sending(intent.nonce);
        let progress = match served {
            Served::Answers => {
                self.run(key);
                self.drawn += 1;
                let answer = RecordedAnswer::new(200, &[self.drawn]);
                self.answers.insert(key, answer.clone());
                Progress::Done { answer }
            }
            Served::AnswerLost => {
                self.run(key);
                Progress::Unknown
            }
            Served::RunsLate => {
                self.calls.push(key);
                Progress::Unknown
            }
            Served::Refuses => {
                self.tables[node].not_run(intent.nonce);
                assert_eq!(self.ran[key], 0, "told not run, but it ran");
                assert!(!self.calls.contains(&key), "told not run, but it may still run");
                Progress::Released
            }
        };
        self.tables[node].end(intent.nonce, progress.clone());
        let settling = Settling::new(intent.with_progress(progress), Some(version));
        Work::Settle { settling, answered: false }
    }

    fn settle(
        &mut self,
        node: usize,
        key: usize,
        mut settling: Settling,
        answered: bool,
        (fate, seen): (Fate, bool),
    ) -> Option<Work> {
        match settling.step() {
            SettleStep::Replace(version) => {
                let write =
                    Write { key, expected: Some(version), intent: settling.intent().clone() };
                let said = self.write(write, fate);
                settling.apply(&said);
            }
            SettleStep::Read => settling.apply(&self.read(node, key, fate, seen)),
            // A claim in doubt is given up after a while.
            SettleStep::Wait if answered && !seen => {
                self.tables[node].settle(settling.intent().nonce);
                return None;
            }
            SettleStep::Wait => settling.waited(),
            SettleStep::Settled => {
                self.tables[node].settle(settling.intent().nonce);
                return None;
            }
        }
        Some(Work::Settle { settling, answered })
    }

    fn run(&mut self, key: usize) {
        self.ran[key] += 1;
    }

    fn told(&self, key: usize, claim: &Claim) {
        match claim {
            Claim::Answer(answer) => {
                assert_eq!(Some(answer), self.answers.get(&key), "replayed another answer");
            }
            Claim::Refuse(code) => assert_ne!(*code, Code::KeyReused, "one request only"),
            Claim::Send | Claim::TakeOver => unreachable!("not a decision for a caller"),
        }
    }

    fn kill(&mut self, node: usize) {
        self.lives[node] += 1;
        self.tables[node] = OwnIntents::new();
        self.tasks.retain(|t| t.node != node);
    }
}

impl StateMachineTest for Calls {
    type SystemUnderTest = World;
    type Reference = Self;

    fn init_test((): &()) -> World {
        World::default()
    }

    fn apply(mut state: World, (): &(), transition: Event) -> World {
        match transition {
            Event::Ask { node, key } => state.ask(node, key),
            Event::Step { task, fate, served, seen } => state.step(task, fate, served, seen),
            Event::Arrive { write } if !state.writes.is_empty() => {
                let index = write % state.writes.len();
                let write = state.writes.swap_remove(index);
                state.apply(&write);
            }
            Event::RunLate { call } if !state.calls.is_empty() => {
                let index = call % state.calls.len();
                let key = state.calls.swap_remove(index);
                state.run(key);
            }
            Event::Kill { node } => state.kill(node),
            Event::Arrive { .. } | Event::RunLate { .. } => {}
        }
        state
    }

    fn check_invariants(state: &World, (): &()) {
        for (key, ran) in state.ran.iter().enumerate() {
            assert!(*ran <= 1, "key {key} ran {ran} times");
        }
    }
}

// Callers retry at three instances at once. Writes to the platform are lost, late or refused, calls
// run without an answer or after everybody gave up, instances look gone while they are paused, die
// and come back under the same name. A household would find two permits for one plot.
proptest_state_machine::prop_state_machine! {
    #![proptest_config(machine("intents"))]

    #[test]
    fn runs_at_most_once(sequential STEPS..STEPS + 1 => Calls);
}
