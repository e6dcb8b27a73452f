//! Model test of request attempts under random orders of outcomes.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RouteKind;
use nutmeggrade_state::attempt::Attempt;
use proptest::prelude::*;

use super::play;

#[derive(Debug, Clone, Copy)]
enum Step {
    Begin(RouteKind, u32),
    Send,
    NotSent,
    Refused,
    Failed,
    Lost,
    Answer,
    End,
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![
        Just(RouteKind::Idempotent),
        Just(RouteKind::NonIdempotent),
        Just(RouteKind::Streaming),
        Just(RouteKind::Resumable),
    ];
    prop_oneof![
        2 => (kind, 1..4_u32).prop_map(|(kind, max_sends)| Step::Begin(kind, max_sends)),
        6 => Just(Step::Send),
        2 => Just(Step::NotSent),
        2 => Just(Step::Refused),
        2 => Just(Step::Failed),
        2 => Just(Step::Lost),
        2 => Just(Step::Answer),
        1 => Just(Step::End),
    ]
}

/// Actual state of an attempt, to compare with.
#[derive(Debug, Default)]
struct ActualState {
    at_endpoint: bool,
    responding: bool,
    runs: u32,
    sends: u32,
    max_sends: u32,
}

impl ActualState {
    /// Returns whether an endpoint may have run the request: it was sent and not reported as
    /// refused.
    fn may_have_run(&self) -> bool {
        self.at_endpoint || self.runs > 0
    }
}

fn run(steps: &[Step]) -> Result<(), String> {
    let mut kind = RouteKind::NonIdempotent;
    let mut attempt = Attempt::new(kind, 1);
    let mut actual = ActualState { max_sends: 1, ..ActualState::default() };
    for step in steps {
        match step {
            Step::Begin(new_kind, max_sends) => {
                kind = *new_kind;
                attempt = Attempt::new(kind, *max_sends);
                actual = ActualState { max_sends: *max_sends, ..ActualState::default() };
            }
            Step::Send if attempt.may_send() => {
                if actual.may_have_run() && !kind.is_repeatable() {
                    return Err("resent a request that may have run".to_owned());
                }
                attempt.send();
                actual.at_endpoint = true;
                actual.sends += 1;
            }
            Step::NotSent if actual.at_endpoint => {
                attempt.not_sent();
                actual.at_endpoint = false;
                actual.sends -= 1;
            }
            Step::Lost if actual.responding => {
                attempt.lost();
                actual.responding = false;
                if !attempt.may_send() && kind.is_repeatable() && actual.sends < actual.max_sends {
                    return Err("a broken response can't continue at another endpoint".to_owned());
                }
            }
            Step::Refused if actual.at_endpoint => {
                attempt.refused();
                actual.at_endpoint = false;
            }
            Step::Failed | Step::Lost if actual.at_endpoint => {
                if matches!(step, Step::Failed) {
                    attempt.failed();
                } else {
                    attempt.lost();
                }
                actual.at_endpoint = false;
                actual.runs += 1;
            }
            Step::Answer if actual.at_endpoint => {
                attempt.begin_response();
                actual.at_endpoint = false;
                actual.responding = true;
                actual.runs += 1;
            }
            Step::End => {
                attempt.end();
                actual.responding = false;
            }
            _ => {}
        }
        if attempt.run() == RunStatus::NotRun && actual.may_have_run() {
            return Err(format!("reported as not run after {step:?}"));
        }
        if actual.sends > actual.max_sends {
            return Err("sent to more endpoints than the route allows".to_owned());
        }
    }
    Ok(())
}

// Guards against a request that is reported as not run although it may have run, a non-repeatable
// request that is resent, and more sends than the route allows, under any outcomes at the
// endpoints.
#[test]
fn attempts_match_outcomes() {
    play("attempts", step(), run);
}
