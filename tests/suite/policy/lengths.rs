//! Estimates of remaining response lengths, updated while responses run.

use nutmeggrade_policy::length::LengthEstimator;

use super::{task, workspace};

const MAX_TOKENS: u64 = 8_192;

fn record_responses(
    lengths: &mut LengthEstimator,
    workspace_index: usize,
    length: u64,
    times: usize,
) {
    for _ in 0..times {
        lengths.grow(&workspace(workspace_index), &task("draft"), 0, length.min(32));
        for from in (32..length).step_by(32) {
            lengths.grow(&workspace(workspace_index), &task("draft"), from, length.min(from + 32));
        }
        lengths.end(&workspace(workspace_index), &task("draft"), length);
    }
}

fn remaining(lengths: &LengthEstimator, workspace_index: usize, done: u64) -> f64 {
    lengths.remaining(&workspace(workspace_index), &task("draft"), done, MAX_TOKENS)
}

// Guards against an estimator that predicts zero in a new deployment without history, and so admits
// everything.
#[test]
fn estimate_without_history_is_long() {
    let lengths = LengthEstimator::new();
    let expected = remaining(&lengths, 0, 0);
    assert!((400.0..2_000.0).contains(&expected), "{expected}");
    assert!(
        remaining(&lengths, 0, 2_000) > expected,
        "a longer response is expected to run longer"
    );
}

// Guards against estimates that ignore history: responses of one length become predictable, and one
// that exceeds that length counts as a different kind.
#[test]
fn estimate_follows_history() {
    let mut lengths = LengthEstimator::new();
    record_responses(&mut lengths, 0, 300, 200);
    let fresh = remaining(&lengths, 0, 0);
    assert!((200.0..420.0).contains(&fresh), "{fresh}");
    assert!(remaining(&lengths, 0, 200) < fresh);
    assert!(remaining(&lengths, 0, 600) > 200.0, "beyond the known lengths the tail is heavy");
}

// Guards against old estimates that overfill engines after responses grow tenfold overnight: long
// responses must count while they run, before the first of them ends.
#[test]
fn follows_a_drift_while_answers_run() {
    let mut lengths = LengthEstimator::new();
    record_responses(&mut lengths, 0, 100, 400);
    let before = remaining(&lengths, 0, 0);
    for _ in 0..100 {
        for from in (0..1_024).step_by(32) {
            lengths.grow(&workspace(0), &task("draft"), from, from + 32);
        }
    }
    let running = remaining(&lengths, 0, 0);
    assert!(running > before * 1.3, "{before} {running}");
    record_responses(&mut lengths, 0, 1_000, 400);
    let after = remaining(&lengths, 0, 0);
    assert!(after > before * 4.0, "{before} {after}");
}

// Guards against estimates for a new workspace that follow two large workspaces with short
// responses: the pooled table weighs small workspaces above their share of the responses.
#[test]
fn large_workspaces_dont_dominate_newcomers() {
    let mut lengths = LengthEstimator::new();
    for round in 0..40 {
        record_responses(&mut lengths, 0, 50, 18);
        record_responses(&mut lengths, 1 + round % 9, 1_000, 2);
    }
    let newcomer = remaining(&lengths, 42, 0);
    // In an unweighted pool a tenth of the responses are long: 0.9 * 50 + 0.1 * 1,000.
    assert!(newcomer > 145.0 * 1.3, "{newcomer}");
}

// Guards against estimates above the request's own limit.
#[test]
fn estimate_stays_within_the_limit() {
    let lengths = LengthEstimator::new();
    let (id, task) = (workspace(0), task("draft"));
    let survival = lengths.survival(&id, &task, 0, 64, &[0, 32, 64, 128]);
    assert!(survival[0] > 0.99 && survival[1] > 0.5);
    assert!(survival[2..].iter().all(|c| *c == 0.0));
    assert!(lengths.remaining(&id, &task, 0, 64) <= 64.0);
}
