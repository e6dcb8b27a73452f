//! The stand-ins play the failures that the system must bear.

use std::time::Duration;

use nutmeggrade_core::engine::{CacheEvent, Generate};
use nutmeggrade_core::prelude::*;
use nutmeggrade_fakes::engine::{CacheChange, CacheLog, Job, Model, Spec};
use rstest::rstest;

const LAG: Duration = Duration::from_millis(300);
const ALMOST: Duration = Duration::from_millis(299);
const EVENTS: u64 = 20;

fn noted(at: Moment) -> CacheLog {
    let mut log = CacheLog::new(LAG);
    for prefix in 1..=EVENTS {
        log.note(CacheChange { prefix, kept: true }, at);
    }
    log
}

#[rstest]
fn cache_events_come_late() {
    let at = Moment::from_millis(1_000);
    let log = noted(at);
    assert!(log.after(0, at.after(ALMOST)).is_empty());
    assert!(!log.after(0, at.after(LAG)).is_empty());
}

#[rstest]
fn cache_events_come_with_gaps() {
    let at = Moment::from_millis(1_000);
    let seen = noted(at).after(0, at.after(LAG));
    let numbers: Vec<_> = seen.iter().map(|e| e.number).collect();
    let whole: Vec<_> = (1..=EVENTS).filter(|n| n % 7 != 0).collect();
    assert_eq!(numbers, whole);
    let rest = noted(at).after(EVENTS - 1, at.after(LAG));
    assert_eq!(rest, [CacheEvent { number: EVENTS, prefix: EVENTS, kept: true }]);
}

#[rstest]
fn cache_keeps_and_drops_prefixes() {
    let mut model = Model::new(&Spec { prefixes: 1, ..Spec::default() });
    for prefix in [1, 2] {
        let order = Generate {
            generation: GenerationId::new([prefix; 16]),
            model: ModelId::new("m").expect("id"),
            prompt: format!("a b c d prefix={prefix} len=1"),
            max_tokens: 8,
            priority: 0,
        };
        model.submit(Job::read(&order), Moment::ZERO);
        model.step(Moment::ZERO);
    }
    let change = |prefix, kept| CacheChange { prefix, kept };
    let expected = [change(1, true), change(2, true), change(1, false)];
    assert_eq!(model.cache_changes(), expected);
    model.set_cold(Moment::ZERO);
    assert_eq!(model.cache_changes(), [change(2, false)]);
}
