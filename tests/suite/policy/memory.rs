//! Admission by expected memory.

use std::time::Duration;

use nutmeggrade_core::config::Weights;
use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::decision_settings::DecisionSettings;
use nutmeggrade_policy::memory::{FORECAST_STEPS, Forecast, PeerUsage};
use nutmeggrade_policy::priority::Priority;
use nutmeggrade_policy::{End, Engine, Ticket, Verdict};

use super::{MEMORY_TOKENS, endpoint, engine, request, scheduler, warm_report};

// Guards against preempted responses, whose streams stop: more responses arrive at once than the
// memory holds at their full lengths.
#[test]
fn admits_by_expected_memory() {
    let mut scheduler = scheduler(1);
    let mut running: u64 = 0;
    for number in 0..200 {
        if matches!(scheduler.admit(&request(number, true), Moment::ZERO), Verdict::Go { .. }) {
            running += 1;
            // The prompt is prefilled at once, so that only memory limits the next request.
            scheduler.token(Ticket(number), Moment::ZERO);
        }
    }
    let fit_full = MEMORY_TOKENS / (400 + 8_192);
    let fit_prompts = MEMORY_TOKENS / 400;
    assert!(running > fit_full, "{running}: no more than with full reservations");
    assert!(running < fit_prompts * 8 / 10, "{running}: as many as without growth");
}

// Guards against double counting and gaps in memory use: a recent admission is not yet in the
// engine's report, and an older one must not count twice.
#[test]
fn lagging_report_is_corrected_by_own_admissions() {
    let mut peers = PeerUsage::default();
    let report = |used, running, age| LoadReport {
        running,
        age: Duration::from_millis(age),
        ..warm_report(used)
    };
    peers.record_report(&report(0, 0, 0), 10_000.0, 5, Moment::from_millis(1_000));
    peers.record_report(&report(15_000, 10, 1_000), 18_000.0, 9, Moment::from_millis(2_000));
    let held = peers.held(5, 1_000.0);
    assert!((held - 5_000.0).abs() < 1.0, "own 10,000 of a second ago are subtracted: {held}");
    let grown = peers.held(10, 1_000.0);
    assert!(
        (grown - 10_000.0).abs() < 1.0,
        "twice the peers' responses hold twice the memory: {grown}"
    );
}

// Guards against forecast sums that drift below zero, which would admit one response too many for
// each that ended.
#[test]
fn removed_forecasts_leave_nothing() {
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

// Guards against waiting requests that miss memory which ended responses freed.
#[test]
fn freed_memory_admits_the_next_request() {
    let mut scheduler = scheduler(1);
    scheduler.report(&endpoint(0), &warm_report(MEMORY_TOKENS), Moment::ZERO);
    let verdict = scheduler.admit(&request(1, true), Moment::ZERO);
    assert_eq!(verdict, Verdict::Wait);
    assert!(scheduler.release(Moment::from_millis(7)).is_empty());
    scheduler.report(&endpoint(0), &warm_report(0), Moment::from_millis(20));
    let released = scheduler.release(Moment::from_millis(21));
    assert!(matches!(released[..], [(Ticket(1), Verdict::Go { .. })]), "{released:?}");
    scheduler.end(Ticket(1), End::Finished, Moment::from_millis(30));
    assert!(scheduler.in_flight().is_empty());
}

// Guards against preemption of the wrong responses: the engine preempts the lowest rank, and a
// short response or one near its deadline loses most by it.
#[test]
fn highest_rank_for_the_costliest_preemption() {
    let second = Duration::from_secs(1);
    let short = Priority::new(false, second * 60, second, 0.01);
    let tight = Priority::new(true, second * 15, second * 10, 0.05);
    let large = Priority::new(true, second * 600, second * 100, 0.4);
    let spare = Priority::new(true, second * 90, second * 10, 0.05);
    assert!(short > tight && tight == large && large > spare);
    assert!(short.number() > spare.number());
}

// Guards against instances that overcommit an engine together: seven of them read the same report
// at the same moment, and if each used all the memory, the engine would preempt six responses of
// seven.
#[test]
fn instances_together_stay_within_the_memory() {
    let report = LoadReport { running: 12, ..warm_report(20_000) };
    let mut admitted = 0;
    for node in 0..7 {
        let mut scheduler = nutmeggrade_policy::Scheduler::new(node);
        scheduler.set_preset(&nutmeggrade_fakes::fleet::preset().expect("a preset"));
        scheduler.set_engines(&[Engine { instance_count: 7, ..engine(0) }], Moment::ZERO);
        scheduler.report(&endpoint(0), &report, Moment::ZERO);
        scheduler.set_peers(&[(endpoint(0), 12)].into(), Moment::ZERO);
        for number in 0..30 {
            let verdict = scheduler.admit(&request(number, true), Moment::ZERO);
            admitted += u64::from(matches!(verdict, Verdict::Go { .. }));
            scheduler.token(Ticket(number), Moment::ZERO);
        }
    }
    assert!(admitted > 0);
    assert!(
        admitted * 400 <= MEMORY_TOKENS - 20_000,
        "{admitted} responses in 20,000 tokens of memory"
    );
}

// Guards against weights that disable a setting: a weight ten times as large moves the setting
// within its bounds.
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
