//! Admission by expected memory.

use std::time::Duration;

use nutmeggrade_core::config::Weights;
use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::decision_settings::DecisionSettings;
use nutmeggrade_policy::memory::{FORECAST_STEPS, Forecast, PeerUsage};
use nutmeggrade_policy::priority::Priority;
use nutmeggrade_policy::{End, Engine, Ticket, Verdict};

use super::{MEMORY, ask, endpoint, engine, scheduler, warm};

// More answers than the memory holds at their full lengths arrive at once. Callers of those that
// the engine preempts see their text stop.
#[test]
fn lets_in_what_the_memory_will_bear() {
    let mut scheduler = scheduler(1);
    let mut running: u64 = 0;
    for number in 0..200 {
        if matches!(scheduler.ask(&ask(number, true), Moment::ZERO), Verdict::Go { .. }) {
            running += 1;
            // The prompt is read at once, so that only memory holds the next one back.
            scheduler.token(Ticket(number), Moment::ZERO);
        }
    }
    let all_full = MEMORY / (400 + 8_192);
    let none_grown = MEMORY / 400;
    assert!(running > all_full, "{running}: as careful as reserving the maximum");
    assert!(running < none_grown * 8 / 10, "{running}: as if no answer grew");
}

// What was let in a moment ago is not in the report yet, and what is in it must not count twice.
#[test]
fn lagging_report_is_corrected_first_hand() {
    let mut others = PeerUsage::default();
    let report =
        |used, running, age| LoadReport { running, age: Duration::from_millis(age), ..warm(used) };
    others.record_report(&report(0, 0, 0), 10_000.0, 5, Moment::from_millis(1_000));
    others.record_report(&report(15_000, 10, 1_000), 18_000.0, 9, Moment::from_millis(2_000));
    let held = others.held(5, 1_000.0);
    assert!((held - 5_000.0).abs() < 1.0, "own 10,000 of a second ago come off: {held}");
    let grown = others.held(10, 1_000.0);
    assert!((grown - 10_000.0).abs() < 1.0, "twice as many of peers hold twice as much: {grown}");
}

// Sums that drift below zero would let one answer too many in for each that ended.
#[test]
fn forecasts_come_back_to_nothing() {
    let mut sum = Forecast::default();
    let one = Forecast::new(500, &[0.7; FORECAST_STEPS.len()]);
    let two = Forecast::new(900, &[0.3; FORECAST_STEPS.len()]);
    sum += &one;
    sum += &two;
    assert!(sum.peak(2.0) > sum.peak(0.0));
    sum -= &one;
    sum -= &two;
    assert!(sum.peak(3.0) < 1e-3);
}

// Memory that ended answers held is for those that wait.
#[test]
fn end_lets_the_next_in() {
    let mut scheduler = scheduler(1);
    scheduler.report(&endpoint(0), &warm(MEMORY), Moment::ZERO);
    let verdict = scheduler.ask(&ask(1, true), Moment::ZERO);
    assert_eq!(verdict, Verdict::Wait);
    assert!(scheduler.release(Moment::from_millis(7)).is_empty());
    scheduler.report(&endpoint(0), &warm(0), Moment::from_millis(20));
    let released = scheduler.release(Moment::from_millis(21));
    assert!(matches!(released[..], [(Ticket(1), Verdict::Go { .. })]), "{released:?}");
    scheduler.end(Ticket(1), End::Finished, Moment::from_millis(30));
    assert!(scheduler.in_flight().is_empty());
}

// The engine preempts the lowest rank. A short answer, or one that would miss its deadline, loses
// most by it.
#[test]
fn ranks_what_loses_most_highest() {
    let second = Duration::from_secs(1);
    let short = Priority::new(false, second * 60, second, 0.01);
    let tight = Priority::new(true, second * 15, second * 10, 0.05);
    let large = Priority::new(true, second * 600, second * 100, 0.4);
    let spare = Priority::new(true, second * 90, second * 10, 0.05);
    assert!(short > tight && tight == large && large > spare);
    assert!(short.number() > spare.number());
}

// Seven instances read the same report and fill the engine at the same moment. If each takes all the
// room for itself, the engine preempts six answers of seven.
#[test]
fn instances_together_stay_within_the_memory() {
    let report = LoadReport { running: 12, ..warm(20_000) };
    let mut admitted = 0;
    for node in 0..7 {
        let mut scheduler = nutmeggrade_policy::Scheduler::new(node);
        scheduler.set_preset(&nutmeggrade_fakes::fleet::preset().expect("a preset"));
        scheduler.set_engines(&[Engine { sharers: 7, ..engine(0) }], Moment::ZERO);
        scheduler.report(&endpoint(0), &report, Moment::ZERO);
        scheduler.set_peers(&[(endpoint(0), 12)].into(), Moment::ZERO);
        for number in 0..30 {
            let verdict = scheduler.ask(&ask(number, true), Moment::ZERO);
            admitted += u64::from(matches!(verdict, Verdict::Go { .. }));
            scheduler.token(Ticket(number), Moment::ZERO);
        }
    }
    assert!(admitted > 0);
    assert!(admitted * 400 <= MEMORY - 20_000, "{admitted} answers in the room of 20,000 tokens");
}

// Operators weigh one figure ten times as much; that must move a setting, not switch one off.
#[test]
fn weights_choose_within_bounds() {
    let weights = |gap, preemptions| Weights { stall: 1.0, domains: 1.0, gap, preemptions };
    let even = DecisionSettings::new(&weights(1.0, 1.0));
    let careful = DecisionSettings::new(&weights(1.0, 10.0));
    let smooth = DecisionSettings::new(&weights(10.0, 1.0));
    assert!(careful.reserve > even.reserve && careful.reserve <= 3.0);
    assert!(smooth.gap < even.gap && smooth.gap >= Duration::from_millis(30));
    assert!(
        smooth.prefill_limit < even.prefill_limit && smooth.affinity_margin > even.affinity_margin
    );
    let nothing = Weights { stall: 0.0, domains: 0.0, gap: 0.0, preemptions: 0.0 };
    assert!(DecisionSettings::new(&nothing).reserve >= 1.0);
}
