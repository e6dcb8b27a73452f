//! Remaining lengths, learned while answers run.

use nutmeggrade_policy::length::LengthEstimator;

use super::{task, workspace};

const MAX: u64 = 8_192;

fn teach(lengths: &mut LengthEstimator, owner: usize, length: u64, times: usize) {
    for _ in 0..times {
        lengths.grow(&workspace(owner), &task("draft"), 0, length.min(32));
        for from in (32..length).step_by(32) {
            lengths.grow(&workspace(owner), &task("draft"), from, length.min(from + 32));
        }
        lengths.end(&workspace(owner), &task("draft"), length);
    }
}

fn remaining(lengths: &LengthEstimator, owner: usize, done: u64) -> f64 {
    lengths.remaining(&workspace(owner), &task("draft"), done, MAX)
}

// A new deployment has seen nothing. An estimator that then says zero lets everything in.
#[test]
fn nothing_seen_is_taken_for_long() {
    let lengths = LengthEstimator::new();
    let expected = remaining(&lengths, 0, 0);
    assert!((400.0..2_000.0).contains(&expected), "{expected}");
    assert!(remaining(&lengths, 0, 2_000) > expected, "what lived long lives on");
}

// Answers of one length become predictable, and one that went past it is a different kind.
#[test]
fn expects_what_it_saw() {
    let mut lengths = LengthEstimator::new();
    teach(&mut lengths, 0, 300, 200);
    let fresh = remaining(&lengths, 0, 0);
    assert!((200.0..420.0).contains(&fresh), "{fresh}");
    assert!(remaining(&lengths, 0, 200) < fresh);
    assert!(remaining(&lengths, 0, 600) > 200.0, "beyond what was seen the tail is heavy");
}

// The callers' prompts change overnight and answers grow tenfold. The old belief fills engines
// until it is gone; long ones that still run must count before the first of them ends.
#[test]
fn follows_a_drift_while_answers_run() {
    let mut lengths = LengthEstimator::new();
    teach(&mut lengths, 0, 100, 400);
    let before = remaining(&lengths, 0, 0);
    for _ in 0..100 {
        for from in (0..1_024).step_by(32) {
            lengths.grow(&workspace(0), &task("draft"), from, from + 32);
        }
    }
    let running = remaining(&lengths, 0, 0);
    assert!(running > before * 1.3, "{before} {running}");
    teach(&mut lengths, 0, 1_000, 400);
    let after = remaining(&lengths, 0, 0);
    assert!(after > before * 4.0, "{before} {after}");
}

// Two workspaces send nearly all answers, all short. Newcomers with long ones must not be judged by
// them alone: the pooled table counts the small workspaces more than their part of the answers.
#[test]
fn huge_workspaces_dont_teach_newcomers_alone() {
    let mut lengths = LengthEstimator::new();
    for round in 0..40 {
        teach(&mut lengths, 0, 50, 18);
        teach(&mut lengths, 1 + round % 9, 1_000, 2);
    }
    let newcomer = remaining(&lengths, 42, 0);
    // In a plain pool a tenth of the answers are long: 0.9 * 50 + 0.1 * 1,000.
    assert!(newcomer > 145.0 * 1.3, "{newcomer}");
}

// The limit of the request bounds every expectation.
#[test]
fn none_outlives_its_limit() {
    let lengths = LengthEstimator::new();
    let (owner, task) = (workspace(0), task("draft"));
    let chances = lengths.survival(&owner, &task, 0, 64, &[0, 32, 64, 128]);
    assert!(chances[0] > 0.99 && chances[1] > 0.5);
    assert!(chances[2..].iter().all(|c| *c == 0.0));
    assert!(lengths.remaining(&owner, &task, 0, 64) <= 64.0);
}
