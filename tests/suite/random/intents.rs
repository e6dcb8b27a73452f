//! Model test of non-idempotent calls at several instances with platform and service failures.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;
use nutmeggrade_state::claiming::{ClaimStep, Claiming, StoreResponse};
use nutmeggrade_state::intent::{Claim, Intent, Owner, Progress};
use nutmeggrade_state::own_intents::OwnIntents;
use nutmeggrade_state::recorded_response::RecordedResponse;
use nutmeggrade_state::settling::{SettleStep, Settling};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::{STEPS, machine_config};

const NODES: usize = 3;
const KEYS: usize = 2;

/// Outcome of a read or write at the store.
#[derive(Debug, Clone, Copy)]
enum StoreOutcome {
    Succeeds,
    ResponseLost,
    Delayed,
    Dropped,
    Refused,
}

/// Outcome of a call to the service.
#[derive(Debug, Clone, Copy)]
enum CallOutcome {
    Responds,
    ResponseLost,
    RunsDelayed,
    Refuses,
}

#[derive(Debug, Clone)]
enum Event {
    /// A caller sends a request with an idempotency key to an instance.
    Request { node: usize, key: usize },
    /// An attempt or settlement takes its next step.
    Step { task: usize, store: StoreOutcome, call: CallOutcome, visible: bool },
    /// A delayed write takes effect.
    DeliverWrite { write: usize },
    /// A delayed call runs.
    RunDelayedCall { call: usize },
    /// An instance dies and restarts under the same name.
    Restart { node: usize },
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
        let store = prop_oneof![
            6 => Just(StoreOutcome::Succeeds),
            2 => Just(StoreOutcome::ResponseLost),
            2 => Just(StoreOutcome::Delayed),
            1 => Just(StoreOutcome::Dropped),
            1 => Just(StoreOutcome::Refused),
        ];
        let call = prop_oneof![
            2 => Just(CallOutcome::Responds),
            1 => Just(CallOutcome::ResponseLost),
            1 => Just(CallOutcome::RunsDelayed),
            4 => Just(CallOutcome::Refuses),
        ];
        let step = (any::<usize>(), store, call, any::<bool>())
            .prop_map(|(task, store, call, visible)| Event::Step { task, store, call, visible });
        prop_oneof![
            4 => (0..NODES, 0..KEYS).prop_map(|(node, key)| Event::Request { node, key }),
            20 => step,
            3 => any::<usize>().prop_map(|write| Event::DeliverWrite { write }),
            2 => any::<usize>().prop_map(|call| Event::RunDelayedCall { call }),
            1 => (0..NODES).prop_map(|node| Event::Restart { node }),
        ]
        .boxed()
    }

    fn apply((): (), _event: &Event) {}
}

#[derive(Debug)]
enum Stage {
    Claim(Claiming),
    Send { intent: Intent, version: u64 },
    Settle { settling: Settling, uncertain_claim: bool },
}

#[derive(Debug)]
struct Task {
    node: usize,
    key: usize,
    stage: Stage,
}

#[derive(Debug, Clone)]
struct Write {
    key: usize,
    expected: Option<u64>,
    intent: Intent,
}

/// State of the instances, the platform and the service, on one thread.
#[derive(Debug, Default)]
struct World {
    incarnations: [u64; NODES],
    tables: [OwnIntents; NODES],
    tasks: Vec<Task>,
    records: BTreeMap<usize, (u64, Intent)>,
    delayed_writes: Vec<Write>,
    delayed_calls: Vec<usize>,
    runs: [u32; KEYS],
    responses: BTreeMap<usize, RecordedResponse>,
    response_count: u8,
    nonce_count: u64,
}

impl World {
    fn request(&mut self, node: usize, key: usize) {
        self.nonce_count += 1;
        let nonce = GenerationId::new((u128::from(self.nonce_count)).to_be_bytes());
        let name = InstanceId::new(&format!("node-{node}")).expect("id");
        let intent = Intent::new(nonce, &name, self.incarnations[node], "request");
        self.tables[node].begin(nonce);
        self.tasks.push(Task { node, key, stage: Stage::Claim(Claiming::new(intent)) });
    }

    fn write(&mut self, write: Write, store: StoreOutcome) -> StoreResponse {
        match store {
            StoreOutcome::Succeeds => self.apply(&write),
            StoreOutcome::ResponseLost => {
                self.apply(&write);
                StoreResponse::Lost
            }
            StoreOutcome::Delayed => {
                self.delayed_writes.push(write);
                StoreResponse::Lost
            }
            StoreOutcome::Dropped => StoreResponse::Lost,
            StoreOutcome::Refused => StoreResponse::Refused,
        }
    }

    fn apply(&mut self, write: &Write) -> StoreResponse {
        let current = self.records.get(&write.key).map(|(v, _)| *v);
        if current != write.expected {
            return StoreResponse::Conflict;
        }
        let version = current.unwrap_or(0) + 1;
        self.records.insert(write.key, (version, write.intent.clone()));
        StoreResponse::Written(version)
    }

    fn read(&self, node: usize, key: usize, store: StoreOutcome, visible: bool) -> StoreResponse {
        if !matches!(store, StoreOutcome::Succeeds | StoreOutcome::Delayed) {
            return StoreResponse::Lost;
        }
        let Some((version, intent)) = self.records.get(&key) else { return StoreResponse::Absent };
        StoreResponse::Found(Box::new(intent.clone()), *version, self.owner(node, intent, visible))
    }

    /// Returns the owner's state as an instance sees it: a paused instance may look gone, and a
    /// dead one live.
    fn owner(&self, node: usize, intent: &Intent, visible: bool) -> Owner {
        let is_own = intent.instance.as_str() == format!("node-{node}");
        if is_own && intent.incarnation == self.incarnations[node] {
            return self.tables[node].owner(intent.nonce);
        }
        if visible && !is_own { Owner::Busy } else { Owner::Gone }
    }

    fn step(&mut self, index: usize, store: StoreOutcome, call: CallOutcome, visible: bool) {
        if self.tasks.is_empty() {
            return;
        }
        let mut task = self.tasks.swap_remove(index % self.tasks.len());
        let (node, key) = (task.node, task.key);
        let next = match task.stage {
            Stage::Claim(claiming) => self.claim(node, key, claiming, store, visible),
            Stage::Send { intent, version } => Some(self.send(node, key, intent, version, call)),
            Stage::Settle { settling, uncertain_claim } => {
                self.settle(node, key, settling, uncertain_claim, (store, visible))
            }
        };
        if let Some(stage) = next {
            task.stage = stage;
            self.tasks.push(task);
        }
    }

    fn claim(
        &mut self,
        node: usize,
        key: usize,
        mut claiming: Claiming,
        store: StoreOutcome,
        visible: bool,
    ) -> Option<Stage> {
        let nonce = claiming.intent().nonce;
        let intent = claiming.intent().clone();
        match claiming.step().clone() {
            ClaimStep::Create => {
                claiming.apply(self.write(Write { key, expected: None, intent }, store));
            }
            ClaimStep::Replace(version) => {
                let expected = Some(version);
                claiming.apply(self.write(Write { key, expected, intent }, store));
            }
            ClaimStep::Read => claiming.apply(self.read(node, key, store, visible)),
            ClaimStep::Decided(Claim::Send, version) => {
                self.tables[node].claimed(nonce);
                return Some(Stage::Send { intent, version });
            }
            ClaimStep::Decided(claim, _) => {
                self.tables[node].settle(nonce);
                self.check_decision(key, &claim);
                return None;
            }
            ClaimStep::GaveUp { may_apply: true } => {
                self.tables[node].end(nonce, Progress::Released);
                let settling = Settling::new(intent.with_progress(Progress::Released), None);
                return Some(Stage::Settle { settling, uncertain_claim: true });
            }
            ClaimStep::GaveUp { may_apply: false } => {
                self.tables[node].settle(nonce);
                return None;
            }
        }
        Some(Stage::Claim(claiming))
    }

    fn send(
        &mut self,
        node: usize,
        key: usize,
        intent: Intent,
        version: u64,
        call: CallOutcome,
    ) -> Stage {
        self.tables[node].sending(intent.nonce);
        let progress = match call {
            CallOutcome::Responds => {
                self.record_run(key);
                self.response_count += 1;
                let answer = RecordedResponse::new(200, &[self.response_count]);
                self.responses.insert(key, answer.clone());
                Progress::Done { answer }
            }
            CallOutcome::ResponseLost => {
                self.record_run(key);
                Progress::Unknown
            }
            CallOutcome::RunsDelayed => {
                self.delayed_calls.push(key);
                Progress::Unknown
            }
            CallOutcome::Refuses => {
                self.tables[node].not_run(intent.nonce);
                assert_eq!(self.runs[key], 0, "reported as not run, but it ran");
                assert!(
                    !self.delayed_calls.contains(&key),
                    "reported as not run, but it may still run"
                );
                Progress::Released
            }
        };
        self.tables[node].end(intent.nonce, progress.clone());
        let settling = Settling::new(intent.with_progress(progress), Some(version));
        Stage::Settle { settling, uncertain_claim: false }
    }

    fn settle(
        &mut self,
        node: usize,
        key: usize,
        mut settling: Settling,
        uncertain_claim: bool,
        (store, visible): (StoreOutcome, bool),
    ) -> Option<Stage> {
        match settling.step() {
            SettleStep::Replace(version) => {
                let write =
                    Write { key, expected: Some(version), intent: settling.intent().clone() };
                let response = self.write(write, store);
                settling.apply(&response);
            }
            SettleStep::Read => settling.apply(&self.read(node, key, store, visible)),
            // An instance stops settling an uncertain claim after a while.
            SettleStep::Wait if uncertain_claim && !visible => {
                self.tables[node].settle(settling.intent().nonce);
                return None;
            }
            SettleStep::Wait => settling.waited(),
            SettleStep::Settled => {
                self.tables[node].settle(settling.intent().nonce);
                return None;
            }
        }
        Some(Stage::Settle { settling, uncertain_claim })
    }

    fn record_run(&mut self, key: usize) {
        self.runs[key] += 1;
    }

    fn check_decision(&self, key: usize, claim: &Claim) {
        match claim {
            Claim::Answer(answer) => {
                assert_eq!(Some(answer), self.responses.get(&key), "replayed another response");
            }
            Claim::Refuse(code) => assert_ne!(*code, Code::KeyReused, "one request per key"),
            Claim::Send | Claim::TakeOver => unreachable!("not a final decision"),
        }
    }

    fn restart(&mut self, node: usize) {
        self.incarnations[node] += 1;
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
            Event::Request { node, key } => state.request(node, key),
            Event::Step { task, store, call, visible } => state.step(task, store, call, visible),
            Event::DeliverWrite { write } if !state.delayed_writes.is_empty() => {
                let index = write % state.delayed_writes.len();
                let write = state.delayed_writes.swap_remove(index);
                state.apply(&write);
            }
            Event::RunDelayedCall { call } if !state.delayed_calls.is_empty() => {
                let index = call % state.delayed_calls.len();
                let key = state.delayed_calls.swap_remove(index);
                state.record_run(key);
            }
            Event::Restart { node } => state.restart(node),
            Event::DeliverWrite { .. } | Event::RunDelayedCall { .. } => {}
        }
        state
    }

    fn check_invariants(state: &World, (): &()) {
        for (key, runs) in state.runs.iter().enumerate() {
            assert!(*runs <= 1, "key {key} ran {runs} times");
        }
    }
}

// Guards against a non-idempotent call that runs twice. Callers retry at three instances
// concurrently while store writes are lost, delayed or refused, calls run without a response or
// after every attempt has ended, and instances look gone while paused or restart under the same
// name.
proptest_state_machine::prop_state_machine! {
    #![proptest_config(machine_config("intents"))]

    #[test]
    fn runs_at_most_once(sequential STEPS..STEPS + 1 => Calls);
}
