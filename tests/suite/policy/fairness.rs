//! Waiting and refusal.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::queue::{FairQueue, Lane};
use nutmeggrade_policy::wait::WaitEstimate;
use nutmeggrade_policy::{GenerationRequest, Ticket, Verdict};

use super::{MEMORY, ask, endpoint, scheduler, warm, workspace};

fn of(owner: usize, ticket: u64) -> GenerationRequest {
    GenerationRequest { workspace: workspace(owner), ..ask(ticket, true) }
}

// Two workspaces fill the queue. A third with two requests must not wait behind all of theirs.
#[test]
fn small_workspace_is_not_behind_the_large() {
    let mut lane = Lane::new();
    for ticket in 0..100 {
        lane.push(&of(usize::from(ticket % 2 == 0), ticket));
    }
    lane.push(&of(7, 500));
    lane.push(&of(7, 501));
    let mut order = Vec::new();
    while !lane.is_empty() {
        let head = lane.heads().next().map(|a| a.ticket).expect("someone waits");
        order.push(head.0);
        lane.take(head, 1_000.0);
    }
    assert_eq!(order.len(), 102);
    assert!(order.iter().position(|t| *t == 501) < Some(7), "{:?}", &order[..10]);
}

// One workspace asks for answers ten times as costly. It gets its part of the work, not of the
// turns.
#[test]
fn costly_requests_get_fewer_turns() {
    let mut lane = Lane::new();
    for ticket in 0..200 {
        lane.push(&of(usize::from(ticket % 2 == 0), ticket));
    }
    let mut turns: BTreeMap<bool, usize> = BTreeMap::new();
    for _ in 0..44 {
        let head = lane.heads().next().map(|a| (a.ticket, a.workspace == workspace(0)));
        let (ticket, costly) = head.expect("someone waits");
        *turns.entry(costly).or_default() += 1;
        lane.take(ticket, if costly { 1_000.0 } else { 100.0 });
    }
    assert_eq!(turns[&true], 4);
}

// The queue is nearly full of one workspace's requests; others still find a place.
#[test]
fn places_are_shared() {
    let mut queue = FairQueue::new();
    let mut taken = 0;
    for ticket in 0..100 {
        if queue.has_room(&workspace(0), 40) {
            queue.lane_mut(true).push(&of(0, ticket));
            taken += 1;
        }
    }
    assert!((20..40).contains(&taken), "{taken}");
    assert!(queue.has_room(&workspace(1), 40));
}

// Long answers wait for memory. A short one passes where there is room for it.
#[test]
fn short_passes_waiting_long() {
    let small = GenerationRequest { prompt: 20, ..ask(2, false) };
    let passes = |used: u64| {
        let mut scheduler = scheduler(1);
        scheduler.report(&endpoint(0), &warm(used), Moment::ZERO);
        let long = scheduler.ask(&ask(1, true), Moment::ZERO);
        let short = scheduler.ask(&small, Moment::ZERO);
        (long == Verdict::Wait).then_some(matches!(short, Verdict::Go { .. }))
    };
    // The least filling at which a long one waits.
    let first = (0..MEMORY).step_by(100).find_map(passes);
    assert_eq!(first, Some(true));
}

// Nothing moves. Whoever comes with a near deadline is told at once instead of at its deadline, and
// the times to come back differ, so that the refused don't return together.
#[test]
fn hopeless_is_refused_at_once() {
    let mut scheduler = scheduler(1);
    scheduler.report(&endpoint(0), &warm(MEMORY), Moment::ZERO);
    scheduler.ask(&ask(1, true), Moment::ZERO);
    let mut now = 0;
    while now < 20_000 {
        now += 7;
        assert!(scheduler.release(Moment::from_millis(now)).is_empty());
    }
    let mut back = Vec::new();
    for ticket in 2..22 {
        let near =
            GenerationRequest { deadline: Moment::from_millis(now + 30_000), ..ask(ticket, true) };
        let Verdict::Refuse { code, retry_after } = scheduler.ask(&near, Moment::from_millis(now))
        else {
            panic!("request {ticket} waits in vain");
        };
        assert_eq!(code, Code::TooLate);
        back.push(retry_after);
    }
    let (first, last) = (back.iter().min(), back.iter().max());
    assert!(last.zip(first).is_some_and(|(l, f)| *l > f.mul_f64(1.4)), "{back:?}");
}

// A caller gives up while it waits. Its place is free, and no verdict comes for it later.
#[test]
fn given_up_is_gone() {
    let mut scheduler = scheduler(1);
    scheduler.report(&endpoint(0), &warm(MEMORY), Moment::ZERO);
    scheduler.ask(&ask(1, true), Moment::ZERO);
    scheduler.end(Ticket(1), nutmeggrade_policy::End::Cancelled, Moment::from_millis(5));
    assert_eq!(scheduler.waiting(), 0);
    scheduler.report(&endpoint(0), &warm(0), Moment::from_millis(6));
    assert!(scheduler.release(Moment::from_millis(7)).is_empty());
}

// The rate of leaving tells how long the queue is in time.
#[test]
fn wait_follows_the_rate() {
    let mut wait = WaitEstimate::new();
    assert_eq!(wait.wait(10), None, "nothing is known yet");
    for tick in 0..2_000 {
        let released = usize::from(tick % 10 == 0);
        wait.released(released, Moment::from_millis(tick * 10));
    }
    let ten = wait.wait(100).expect("known by now").as_secs_f64();
    assert!((8.0..12.0).contains(&ten), "{ten}");
    let second = Duration::from_secs(1);
    assert!(WaitEstimate::in_time(second * 10, second * 10, second * 60));
    assert!(!WaitEstimate::in_time(second * 50, second * 10, second * 60));
    assert!(!WaitEstimate::in_time(Duration::ZERO, second * 61, second * 60));
}
