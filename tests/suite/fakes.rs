//! The fakes simulate the failures that the system must tolerate.

use std::time::Duration;

use nutmeggrade_core::engine::{CacheEvent, GenerateRequest};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::engine::{CacheChange, CacheLog, Engine, Job, Model, Refusal, Spec};
use rstest::rstest;

const LAG: Duration = Duration::from_millis(300);
const JUST_BELOW_LAG: Duration = Duration::from_millis(299);
const EVENTS: u64 = 20;

fn log_of_events(at: Moment) -> CacheLog {
    let mut log = CacheLog::new(LAG);
    for prefix in 1..=EVENTS {
        log.record(CacheChange { prefix, kept: true }, at);
    }
    log
}

#[rstest]
fn cache_events_come_late() {
    let at = Moment::from_millis(1_000);
    let log = log_of_events(at);
    assert!(log.after(0, at.after(JUST_BELOW_LAG)).is_empty());
    assert!(!log.after(0, at.after(LAG)).is_empty());
}

#[rstest]
fn cache_events_come_with_gaps() {
    let at = Moment::from_millis(1_000);
    let seen = log_of_events(at).after(0, at.after(LAG));
    let numbers: Vec<_> = seen.iter().map(|e| e.number).collect();
    let delivered: Vec<_> = (1..=EVENTS).filter(|n| n % 7 != 0).collect();
    assert_eq!(numbers, delivered);
    let rest = log_of_events(at).after(EVENTS - 1, at.after(LAG));
    assert_eq!(rest, [CacheEvent { number: EVENTS, prefix: EVENTS, kept: true }]);
}

fn generation_request(n: u8, prompt: &str) -> GenerateRequest {
    GenerateRequest {
        generation: GenerationId::new([n; 16]),
        model: ModelId::new("m").expect("id"),
        prompt: prompt.to_owned(),
        max_tokens: 8,
        priority: 0,
    }
}

// Guards against an engine that accepts requests after it crashed at the start of a step; they
// would be lost and count as a second crash.
#[rstest]
fn crashed_engine_takes_nothing() {
    let engine = Engine::new(&Spec::default(), LAG);
    assert_eq!(engine.submit(&generation_request(0, "a crash=now")), Ok(()));
    engine.begin_step();
    for n in 1..=4 {
        assert_eq!(engine.submit(&generation_request(n, "a len=1")), Err(Refusal::Down));
    }
    assert_eq!(engine.crashes(), 1);
}

#[rstest]
fn cache_keeps_and_drops_prefixes() {
    let mut model = Model::new(&Spec { prefixes: 1, ..Spec::default() });
    for prefix in [1, 2] {
        let request = generation_request(prefix, &format!("a b c d prefix={prefix} len=1"));
        model.submit(Job::from_request(&request), Moment::ZERO);
        model.step(Moment::ZERO);
    }
    let change = |prefix, kept| CacheChange { prefix, kept };
    let expected = [change(1, true), change(2, true), change(1, false)];
    assert_eq!(model.cache_changes(), expected);
    model.set_cold(Moment::ZERO);
    assert_eq!(model.cache_changes(), [change(2, false)]);
}
