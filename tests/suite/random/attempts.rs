//! Attempts of clients under every order of outcomes.

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
        2 => (kind, 1..4_u32).prop_map(|(kind, most)| Step::Begin(kind, most)),
        6 => Just(Step::Send),
        2 => Just(Step::NotSent),
        2 => Just(Step::Refused),
        2 => Just(Step::Failed),
        2 => Just(Step::Lost),
        2 => Just(Step::Answer),
        1 => Just(Step::End),
    ]
}

/// What really happened to one attempt.
#[derive(Debug, Default)]
struct Truth {
    at_endpoint: bool,
    answering: bool,
    ran: u32,
    handed: u32,
    most: u32,
}

impl Truth {
    /// An endpoint may run whatever it was handed, unless it says that it did not.
    fn may_have_run(&self) -> bool {
        self.at_endpoint || self.ran > 0
    }
}

fn run(steps: &[Step]) -> Result<(), String> {
    let mut kind = RouteKind::NonIdempotent;
    let mut attempt = Attempt::new(kind, 1);
    let mut truth = Truth { most: 1, ..Truth::default() };
    for step in steps {
        match step {
            Step::Begin(new, most) => {
                kind = *new;
                attempt = Attempt::new(kind, *most);
                truth = Truth { most: *most, ..Truth::default() };
            }
            Step::Send if attempt.may_send() => {
                if truth.may_have_run() && !kind.is_repeatable() {
                    return Err("sent again what may have run".to_owned());
                }
                attempt.send();
                truth.at_endpoint = true;
                truth.handed += 1;
            }
            Step::NotSent if truth.at_endpoint => {
                attempt.not_sent();
                truth.at_endpoint = false;
                truth.handed -= 1;
            }
            Step::Lost if truth.answering => {
                attempt.lost();
                truth.answering = false;
                if !attempt.may_send() && kind.is_repeatable() && truth.handed < truth.most {
                    return Err("an answer that broke off can't go on elsewhere".to_owned());
                }
            }
            Step::Refused if truth.at_endpoint => {
                attempt.refused();
                truth.at_endpoint = false;
            }
            Step::Failed | Step::Lost if truth.at_endpoint => {
                if matches!(step, Step::Failed) {
                    attempt.failed();
                } else {
                    attempt.lost();
                }
                truth.at_endpoint = false;
                truth.ran += 1;
            }
            Step::Answer if truth.at_endpoint => {
                attempt.answer();
                truth.at_endpoint = false;
                truth.answering = true;
                truth.ran += 1;
            }
            Step::End => {
                attempt.end();
                truth.answering = false;
            }
            _ => {}
        }
        if attempt.run() == Run::NotRun && truth.may_have_run() {
            return Err(format!("claims not to have run after {step:?}"));
        }
        if truth.handed > truth.most {
            return Err("handed to more endpoints than the route allows".to_owned());
        }
    }
    Ok(())
}

// Whatever endpoints do, a request that may have run is never said not to have, a request that may
// not repeat is never sent again, and no more endpoints get it than the route allows.
#[test]
fn attempts_never_lie() {
    play("attempts", step(), run);
}
