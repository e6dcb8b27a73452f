//! Gaps between tokens.

use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::gap::GapLimit;
use nutmeggrade_policy::prefill::PrefillLimit;
use nutmeggrade_policy::{Ticket, Verdict};

use super::{ask, endpoint, scheduler, warm};

const TARGET: Duration = Duration::from_millis(50);

fn play(limit: &mut GapLimit, gap: u64, steps: u64, from: u64) -> u64 {
    let mut now = from;
    for _ in 0..steps {
        now += gap;
        limit.record_gap(Duration::from_millis(gap), TARGET, 20, Moment::from_millis(now));
    }
    now
}

// An engine becomes eight times slower. Each answer sent there stutters to its end, so that it must
// close within seconds, be tried by one short answer at a time, and open again when it recovers.
#[test]
fn slow_engine_closes_and_recovers() {
    let mut limit = GapLimit::new();
    let now = play(&mut limit, 15, 200, 0);
    assert!(limit.allows(60, false, 5, Moment::from_millis(now)));
    let now = play(&mut limit, 110, 120, now);
    assert!(!limit.allows(3, false, 3, Moment::from_millis(now)), "closed for long answers");
    assert!(!limit.allows(0, true, 0, Moment::from_millis(now)), "no probe at once");
    let probe = Moment::from_millis(now + 30_000);
    assert!(limit.allows(0, true, 0, probe), "one short answer later");
    assert!(!limit.allows(1, true, 1, probe), "one at a time");
    let now = play(&mut limit, 15, 300, now + 30_000);
    assert!(limit.allows(1, false, 1, Moment::from_millis(now)), "open again");
}

// Prompts being read lengthen one gap in ten on a healthy engine; that must not close it.
#[test]
fn prompts_of_neighbours_dont_close_an_engine() {
    let mut limit = GapLimit::new();
    let mut now = 0;
    for _ in 0..200 {
        now = play(&mut limit, 15, 9, now);
        now = play(&mut limit, 60, 1, now);
    }
    assert!(limit.allows(40, false, 5, Moment::from_millis(now)));
}

// Two long prompts in one batch make every neighbour's step as long as a step can be.
#[test]
fn prompts_are_read_one_at_a_time() {
    let mut pace = PrefillLimit::new();
    assert!(pace.allows(9_000, 1_024), "a long one goes alone");
    pace.record_sent(Ticket(1), 900);
    assert!(pace.allows(100, 1_024));
    assert!(!pace.allows(500, 1_024));
    pace.record_read(Ticket(1));
    pace.record_read(Ticket(1));
    assert!(pace.allows(500, 1_024));
}

// A large model decodes slowly on every engine. None is to blame, and closing them all would leave
// its callers without an answer.
#[test]
fn engines_that_are_all_slow_stay_open() {
    let mut scheduler = scheduler(2);
    let mut now = Moment::ZERO;
    for ticket in 0..4 {
        scheduler.ask(&ask(ticket, true), now);
        scheduler.token(Ticket(ticket), now);
    }
    for step in 1..2_000 {
        now = Moment::from_millis(step * 120);
        for ticket in 0..4 {
            scheduler.token(Ticket(ticket), now);
        }
    }
    for number in 0..2 {
        scheduler.report(&endpoint(number), &warm(10_000), now);
    }
    let verdict = scheduler.ask(&ask(9, true), now);
    assert!(matches!(verdict, Verdict::Go { .. }), "{verdict:?}");
}
