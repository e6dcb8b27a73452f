//! Fair queues, waiting and refusal.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::queue::{FairQueue, Lane};
use nutmeggrade_policy::wait_estimate::WaitEstimate;
use nutmeggrade_policy::{GenerationRequest, Ticket, Verdict};

use super::{MEMORY_TOKENS, endpoint, request, scheduler, warm_report, workspace};

fn request_of(workspace_index: usize, ticket: u64) -> GenerationRequest {
    GenerationRequest { workspace: workspace(workspace_index), ..request(ticket, true) }
}

// Guards against a small workspace that waits behind all requests of two large ones.
#[test]
fn small_workspace_is_not_behind_the_large() {
    let mut lane = Lane::new();
    for ticket in 0..100 {
        lane.push(&request_of(usize::from(ticket % 2 == 0), ticket));
    }
    lane.push(&request_of(7, 500));
    lane.push(&request_of(7, 501));
    let mut order = Vec::new();
    while !lane.is_empty() {
        let head = lane.heads().next().map(|a| a.ticket).expect("a waiting request");
        order.push(head.0);
        lane.take(head, 1_000.0);
    }
    assert_eq!(order.len(), 102);
    assert!(order.iter().position(|t| *t == 501) < Some(7), "{:?}", &order[..10]);
}

// Guards against a workspace that gains capacity with costly requests: its requests cost ten times
// as much, and it gets an equal share of the work, not of the turns.
#[test]
fn costly_requests_get_fewer_turns() {
    let mut lane = Lane::new();
    for ticket in 0..200 {
        lane.push(&request_of(usize::from(ticket % 2 == 0), ticket));
    }
    let mut turns: BTreeMap<bool, usize> = BTreeMap::new();
    for _ in 0..44 {
        let head = lane.heads().next().map(|a| (a.ticket, a.workspace == workspace(0)));
        let (ticket, costly) = head.expect("a waiting request");
        *turns.entry(costly).or_default() += 1;
        lane.take(ticket, if costly { 1_000.0 } else { 100.0 });
    }
    assert_eq!(turns[&true], 4);
}

// Guards against a workspace that fills the queue: others still find room.
#[test]
fn queue_places_are_shared() {
    let mut queue = FairQueue::new();
    let mut queued = 0;
    for ticket in 0..100 {
        if queue.has_room(&workspace(0), 40) {
            queue.lane_mut(true).push(&request_of(0, ticket));
            queued += 1;
        }
    }
    assert!((20..40).contains(&queued), "{queued}");
    assert!(queue.has_room(&workspace(1), 40));
}

// Guards against short requests that are blocked by long ones which wait for memory.
#[test]
fn short_passes_waiting_long() {
    let small = GenerationRequest { prompt: 20, ..request(2, false) };
    let passes = |used: u64| {
        let mut scheduler = scheduler(1);
        scheduler.report(&endpoint(0), &warm_report(used), Moment::ZERO);
        let long = scheduler.admit(&request(1, true), Moment::ZERO);
        let short = scheduler.admit(&small, Moment::ZERO);
        (long == Verdict::Wait).then_some(matches!(short, Verdict::Go { .. }))
    };
    // Checked at the lowest memory use at which a long request waits.
    let first = (0..MEMORY_TOKENS).step_by(100).find_map(passes);
    assert_eq!(first, Some(true));
}

// Guards against requests that wait in vain and then retry together: while nothing completes, a
// request with a near deadline is refused on arrival, and retry delays differ.
#[test]
fn request_that_waits_in_vain_is_refused_at_once() {
    let mut scheduler = scheduler(1);
    scheduler.report(&endpoint(0), &warm_report(MEMORY_TOKENS), Moment::ZERO);
    scheduler.admit(&request(1, true), Moment::ZERO);
    let mut now = 0;
    while now < 20_000 {
        now += 7;
        assert!(scheduler.release(Moment::from_millis(now)).is_empty());
    }
    let mut retry_delays = Vec::new();
    for ticket in 2..22 {
        let urgent = GenerationRequest {
            deadline: Moment::from_millis(now + 30_000),
            ..request(ticket, true)
        };
        let Verdict::Refuse { code, retry_after } =
            scheduler.admit(&urgent, Moment::from_millis(now))
        else {
            panic!("request {ticket} waits in vain");
        };
        assert_eq!(code, Code::TooLate);
        retry_delays.push(retry_after);
    }
    let (first, last) = (retry_delays.iter().min(), retry_delays.iter().max());
    assert!(last.zip(first).is_some_and(|(l, f)| *l > f.mul_f64(1.4)), "{retry_delays:?}");
}

// Guards against a verdict for a request that was cancelled in the queue, and against its slot
// staying taken.
#[test]
fn cancelled_request_leaves_the_queue() {
    let mut scheduler = scheduler(1);
    scheduler.report(&endpoint(0), &warm_report(MEMORY_TOKENS), Moment::ZERO);
    scheduler.admit(&request(1, true), Moment::ZERO);
    scheduler.end(Ticket(1), nutmeggrade_policy::End::Cancelled, Moment::from_millis(5));
    assert_eq!(scheduler.waiting(), 0);
    scheduler.report(&endpoint(0), &warm_report(0), Moment::from_millis(6));
    assert!(scheduler.release(Moment::from_millis(7)).is_empty());
}

// Guards against wrong wait estimates: the wait follows from the queue length and the release rate.
#[test]
fn wait_follows_the_rate() {
    let mut wait = WaitEstimate::new();
    assert_eq!(wait.wait(10), None, "no release was recorded");
    for tick in 0..2_000 {
        let released = usize::from(tick % 10 == 0);
        wait.released(released, Moment::from_millis(tick * 10));
    }
    let seconds = wait.wait(100).expect("an estimate").as_secs_f64();
    assert!((8.0..12.0).contains(&seconds), "{seconds}");
    let second = Duration::from_secs(1);
    assert!(WaitEstimate::in_time(second * 10, second * 10, second * 60));
    assert!(!WaitEstimate::in_time(second * 50, second * 10, second * 60));
    assert!(!WaitEstimate::in_time(Duration::ZERO, second * 61, second * 60));
}
