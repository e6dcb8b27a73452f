//! Limits that keep the gaps between tokens short.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::gap_limit::GapLimit;
use nutmeggrade_policy::prefill_limit::PrefillLimit;
use nutmeggrade_policy::{Ticket, Verdict};

use super::{endpoint, request, scheduler, warm_report};

const GAP_TARGET: Duration = Duration::from_millis(50);

fn record_gaps(limit: &mut GapLimit, gap: u64, steps: u64, from: u64) -> u64 {
    let mut now = from;
    for _ in 0..steps {
        now += gap;
        limit.record_gap(Duration::from_millis(gap), GAP_TARGET, 20, Moment::from_millis(now));
    }
    now
}

// Guards against an engine that becomes eight times slower, on which every response would stutter
// to its end: it closes within seconds, is probed by one short request at a time, and opens when it
// recovers.
#[test]
fn slow_engine_closes_and_recovers() {
    let mut limit = GapLimit::new();
    let now = record_gaps(&mut limit, 15, 200, 0);
    assert!(limit.allows(60, false, 5, Moment::from_millis(now)));
    let now = record_gaps(&mut limit, 110, 120, now);
    assert!(!limit.allows(3, false, 3, Moment::from_millis(now)), "closed for long answers");
    assert!(!limit.allows(0, true, 0, Moment::from_millis(now)), "no immediate probe");
    let probe = Moment::from_millis(now + 30_000);
    assert!(limit.allows(0, true, 0, probe), "one short request later");
    assert!(!limit.allows(1, true, 1, probe), "one at a time");
    let now = record_gaps(&mut limit, 15, 300, now + 30_000);
    assert!(limit.allows(1, false, 1, Moment::from_millis(now)), "open again");
}

// Guards against closing a healthy engine on which prefills lengthen one gap in ten.
#[test]
fn prompts_of_neighbours_dont_close_an_engine() {
    let mut limit = GapLimit::new();
    let mut now = 0;
    for _ in 0..200 {
        now = record_gaps(&mut limit, 15, 9, now);
        now = record_gaps(&mut limit, 60, 1, now);
    }
    assert!(limit.allows(40, false, 5, Moment::from_millis(now)));
}

// Guards against two long prompts in one batch, which lengthen the step of every other response.
#[test]
fn prompts_are_read_one_at_a_time() {
    let mut limit = PrefillLimit::new();
    assert!(limit.allows(9_000, 1_024), "a long prompt is prefilled alone");
    limit.record_sent(Ticket(1), 900);
    assert!(limit.allows(100, 1_024));
    assert!(!limit.allows(500, 1_024));
    limit.record_read(Ticket(1));
    limit.record_read(Ticket(1));
    assert!(limit.allows(500, 1_024));
}

// Guards against closing every engine when a large model decodes slowly on all of them, which would
// leave its callers without a response.
#[test]
fn engines_that_are_all_slow_stay_open() {
    let mut scheduler = scheduler(2);
    let mut now = Moment::ZERO;
    for ticket in 0..4 {
        scheduler.admit(&request(ticket, true), now);
        scheduler.token(Ticket(ticket), now);
    }
    for step in 1..2_000 {
        now = Moment::from_millis(step * 120);
        for ticket in 0..4 {
            scheduler.token(Ticket(ticket), now);
        }
    }
    for number in 0..2 {
        scheduler.report(&endpoint(number), &warm_report(10_000), now);
    }
    let verdict = scheduler.admit(&request(9, true), now);
    assert!(matches!(verdict, Verdict::Go { .. }), "{verdict:?}");
}
