//! Streams of generations, cut, repeated, crossed and resumed at any instance.

use nutmeggrade_core::engine::{FinishReason, Token};
use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::delivery::{Delivery, Step};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::{STEPS, machine};

const CALLERS: usize = 3;
const KEY: [u8; 32] = [7; 32];

/// What the engine, the link or the caller does.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The engine decodes a token, the last one if `last`.
    Decode { caller: usize, last: bool },
    /// The stream brings the next token.
    Next { caller: usize },
    /// The stream brings an older token again.
    Again { caller: usize, back: u64 },
    /// The stream skips tokens, as one that was resumed at the wrong place.
    Skip { caller: usize, ahead: u64 },
    /// The stream brings a token of another caller's generation.
    Cross { caller: usize, other: usize },
    /// The caller's connection breaks and the last events on it are lost; it resumes elsewhere.
    Resume { caller: usize, lost: usize },
    /// The caller hands another one's event id over.
    Steal { caller: usize, other: usize },
}

#[derive(Debug)]
struct Streams;

impl ReferenceStateMachine for Streams {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        let caller = || 0..CALLERS;
        let pair = || (0..CALLERS, 0..CALLERS);
        prop_oneof![
            8 => (caller(), prop::bool::weighted(0.02))
                .prop_map(|(caller, last)| Event::Decode { caller, last }),
            8 => caller().prop_map(|caller| Event::Next { caller }),
            2 => (caller(), 0..9_u64).prop_map(|(caller, back)| Event::Again { caller, back }),
            2 => (caller(), 1..9_u64).prop_map(|(caller, ahead)| Event::Skip { caller, ahead }),
            2 => pair().prop_map(|(caller, other)| Event::Cross { caller, other }),
            2 => (caller(), 0..5_usize).prop_map(|(caller, lost)| Event::Resume { caller, lost }),
            1 => pair().prop_map(|(caller, other)| Event::Steal { caller, other }),
        ]
        .boxed()
    }

    fn apply((): (), _event: &Event) {}
}

/// One caller, the instance that serves it now, and its generation on an engine.
#[derive(Debug)]
struct Line {
    workspace: WorkspaceId,
    decoded: Vec<Token>,
    delivery: Delivery,
    heard: Vec<(Token, String)>,
    done: bool,
}

impl Line {
    fn new(number: usize) -> Self {
        let byte = u8::try_from(number).expect("few callers") + 1;
        let workspace = WorkspaceId::new(&format!("workspace-{number}")).expect("id");
        let generation = GenerationId::new([byte; 16]);
        let delivery = Delivery::new(generation);
        Self { workspace, decoded: Vec::new(), delivery, heard: Vec::new(), done: false }
    }

    fn decode(&mut self, last: bool) {
        if self.decoded.last().is_some_and(|t| t.finish.is_some()) {
            return;
        }
        let offset = self.decoded.len() as u64;
        let generation = self.delivery.generation();
        let text = format!("{generation} {offset}");
        let finish = last.then_some(FinishReason::Stop);
        self.decoded.push(Token { generation, offset, text, finish });
    }

    fn take(&mut self, token: &Token) {
        if self.delivery.accept(token) != Step::Deliver {
            return;
        }
        let endpoint = EndpointId::new("engine-0").expect("id");
        let id = EventId::new(endpoint, token.generation, token.offset);
        let id = id.with_last(token.finish.is_some()).seal(&self.workspace, &KEY);
        self.heard.push((token.clone(), id));
        self.done |= self.delivery.ended();
    }

    fn at(&self, offset: u64) -> Option<Token> {
        self.decoded.get(usize::try_from(offset).ok()?).cloned()
    }

    fn resume(&mut self, lost: usize) {
        // A caller without any event starts a new generation instead.
        let kept = self.heard.len().saturating_sub(lost).max(1);
        self.heard.truncate(kept);
        let Some((_, id)) = self.heard.last() else { return };
        let id = EventId::open(id, &self.workspace, &KEY).expect("own id");
        self.delivery = Delivery::new(id.generation).with_next(id.offset + 1);
        self.done = id.last;
        if id.last {
            self.delivery.end();
        }
    }
}

impl StateMachineTest for Streams {
    type SystemUnderTest = Vec<Line>;
    type Reference = Self;

    fn init_test((): &()) -> Vec<Line> {
        (0..CALLERS).map(Line::new).collect()
    }

    fn apply(mut state: Vec<Line>, (): &(), transition: Event) -> Vec<Line> {
        let found = match transition {
            Event::Decode { caller, last } => {
                state[caller].decode(last);
                None
            }
            Event::Resume { caller, lost } => {
                state[caller].resume(lost);
                None
            }
            Event::Steal { caller, other } => {
                let id = state[other].heard.last().map(|(_, id)| id.as_str());
                let opened = id.and_then(|id| EventId::open(id, &state[caller].workspace, &KEY));
                assert!(opened.is_none() || caller == other, "another workspace's id opens");
                None
            }
            Event::Next { caller } => {
                state[caller].at(state[caller].delivery.next()).map(|t| (caller, t))
            }
            Event::Again { caller, back } => {
                let offset = state[caller].delivery.next().saturating_sub(back);
                state[caller].at(offset).map(|t| (caller, t))
            }
            Event::Skip { caller, ahead } => {
                state[caller].at(state[caller].delivery.next() + ahead).map(|t| (caller, t))
            }
            Event::Cross { caller, other } => {
                state[other].at(state[caller].delivery.next()).map(|t| (caller, t))
            }
        };
        if let Some((caller, token)) = found {
            state[caller].take(&token);
        }
        state
    }

    fn check_invariants(state: &Vec<Line>, (): &()) {
        for line in state {
            let expected = line.decoded.iter().take(line.heard.len());
            let same = line.heard.iter().map(|(t, _)| t).eq(expected);
            assert!(same, "not the same generation, once and in order");
            let whole = line.heard.len() == line.decoded.len();
            assert!(!line.done || whole, "ended before the last token");
        }
    }
}

// Engines repeat and skip tokens and cross streams, connections lose what is on the way, callers
// resume at any instance and try each other's ids. Each hears its own answer, once and in order.
proptest_state_machine::prop_state_machine! {
    #![proptest_config(machine("generations"))]

    #[test]
    fn each_token_once_in_order(sequential STEPS..STEPS + 1 => Streams);
}
