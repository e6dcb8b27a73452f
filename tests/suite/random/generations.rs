//! Model test of generation streams that are cut, repeated, mixed up and resumed at any instance.

use nutmeggrade_core::engine::{FinishReason, Token};
use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::delivery::{Delivery, Step};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use super::{STEPS, machine_config};

const CALLERS: usize = 3;
const KEY: [u8; 32] = [7; 32];

/// Event at the engine, on the connection or at the caller.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The engine decodes a token, the last one if `last`.
    Decode { caller: usize, last: bool },
    /// The stream delivers the next token.
    Next { caller: usize },
    /// The stream repeats an older token.
    Repeat { caller: usize, back: u64 },
    /// The stream skips tokens, as after a resume at the wrong offset.
    Skip { caller: usize, ahead: u64 },
    /// The stream delivers a token of another caller's generation.
    Cross { caller: usize, other: usize },
    /// The caller's connection breaks and loses its last events; the caller resumes elsewhere.
    Resume { caller: usize, lost: usize },
    /// The caller presents another caller's event id.
    UseForeignId { caller: usize, other: usize },
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
            2 => (caller(), 0..9_u64).prop_map(|(caller, back)| Event::Repeat { caller, back }),
            2 => (caller(), 1..9_u64).prop_map(|(caller, ahead)| Event::Skip { caller, ahead }),
            2 => pair().prop_map(|(caller, other)| Event::Cross { caller, other }),
            2 => (caller(), 0..5_usize).prop_map(|(caller, lost)| Event::Resume { caller, lost }),
            1 => pair().prop_map(|(caller, other)| Event::UseForeignId { caller, other }),
        ]
        .boxed()
    }

    fn apply((): (), _event: &Event) {}
}

/// State of one caller, of the instance that serves it, and of its generation on an engine.
#[derive(Debug)]
struct CallerStream {
    workspace: WorkspaceId,
    decoded: Vec<Token>,
    delivery: Delivery,
    received: Vec<(Token, String)>,
    done: bool,
}

impl CallerStream {
    fn new(number: usize) -> Self {
        let byte = u8::try_from(number).expect("few callers") + 1;
        let workspace = WorkspaceId::new(&format!("workspace-{number}")).expect("id");
        let generation = GenerationId::new([byte; 16]);
        let delivery = Delivery::new(generation);
        Self { workspace, decoded: Vec::new(), delivery, received: Vec::new(), done: false }
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

    fn accept_token(&mut self, token: &Token) {
        if self.delivery.accept(token) != Step::Deliver {
            return;
        }
        let endpoint = EndpointId::new("engine-0").expect("id");
        let id = EventId::new(endpoint, token.generation, token.offset);
        let id = id.with_last(token.finish.is_some()).seal(&self.workspace, &KEY);
        self.received.push((token.clone(), id));
        self.done |= self.delivery.ended();
    }

    fn token_at(&self, offset: u64) -> Option<Token> {
        self.decoded.get(usize::try_from(offset).ok()?).cloned()
    }

    fn resume(&mut self, lost: usize) {
        // A caller that has received no event starts a new generation instead.
        let kept = self.received.len().saturating_sub(lost).max(1);
        self.received.truncate(kept);
        let Some((_, id)) = self.received.last() else { return };
        let id = EventId::open(id, &self.workspace, &KEY).expect("own id");
        self.delivery = Delivery::new(id.generation).with_next(id.offset + 1);
        self.done = id.last;
        if id.last {
            self.delivery.end();
        }
    }
}

impl StateMachineTest for Streams {
    type SystemUnderTest = Vec<CallerStream>;
    type Reference = Self;

    fn init_test((): &()) -> Vec<CallerStream> {
        (0..CALLERS).map(CallerStream::new).collect()
    }

    fn apply(mut state: Vec<CallerStream>, (): &(), transition: Event) -> Vec<CallerStream> {
        let incoming = match transition {
            Event::Decode { caller, last } => {
                state[caller].decode(last);
                None
            }
            Event::Resume { caller, lost } => {
                state[caller].resume(lost);
                None
            }
            Event::UseForeignId { caller, other } => {
                let id = state[other].received.last().map(|(_, id)| id.as_str());
                let opened = id.and_then(|id| EventId::open(id, &state[caller].workspace, &KEY));
                assert!(opened.is_none() || caller == other, "opened another workspace's event id");
                None
            }
            Event::Next { caller } => {
                state[caller].token_at(state[caller].delivery.next()).map(|t| (caller, t))
            }
            Event::Repeat { caller, back } => {
                let offset = state[caller].delivery.next().saturating_sub(back);
                state[caller].token_at(offset).map(|t| (caller, t))
            }
            Event::Skip { caller, ahead } => {
                state[caller].token_at(state[caller].delivery.next() + ahead).map(|t| (caller, t))
            }
            Event::Cross { caller, other } => {
                state[other].token_at(state[caller].delivery.next()).map(|t| (caller, t))
            }
        };
        if let Some((caller, token)) = incoming {
            state[caller].accept_token(&token);
        }
        state
    }

    fn check_invariants(state: &Vec<CallerStream>, (): &()) {
        for stream in state {
            let expected = stream.decoded.iter().take(stream.received.len());
            let matches = stream.received.iter().map(|(t, _)| t).eq(expected);
            assert!(matches, "tokens are not those of the generation, once and in order");
            let is_complete = stream.received.len() == stream.decoded.len();
            assert!(!stream.done || is_complete, "ended before the last token");
        }
    }
}

// Guards against a caller that receives tokens twice, out of order or of another caller. Engines
// repeat and skip tokens and mix up streams, connections lose data in transit, and callers resume
// at any instance and present each other's event ids.
proptest_state_machine::prop_state_machine! {
    #![proptest_config(machine_config("generations"))]

    #[test]
    fn each_token_once_in_order(sequential STEPS..STEPS + 1 => Streams);
}
