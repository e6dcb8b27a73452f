//! Requests of routes under bursts, saturation, failing endpoints and cold ones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{
    Candidate, DispatchDecision, DispatchRequest, Dispatcher, Placed,
};

use super::{endpoint, workspace};

const PATIENCE: Duration = Duration::from_secs(2);

fn service() -> ServiceId {
    ServiceId::new("writers").expect("an id")
}

fn domain(name: &str) -> DomainId {
    DomainId::new(name).expect("an id")
}

fn engine(number: usize) -> Candidate {
    Candidate {
        id: endpoint(number),
        domain: domain("near"),
        slots: 24,
        memory: Some(30_000),
        cold_left: None,
        is_canary: false,
    }
}

fn plain(number: usize) -> Candidate {
    Candidate { slots: 4, memory: None, ..engine(number) }
}

fn dispatcher(candidates: Vec<Candidate>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(&domain("near"), 7);
    dispatcher.set_candidates(BTreeMap::from([(service(), candidates)]));
    dispatcher
}

fn need(ticket: u64, owner: usize, priority: u8, memory: u64) -> DispatchRequest {
    DispatchRequest {
        ticket: Ticket(ticket),
        workspace: workspace(owner),
        service: service(),
        priority,
        prompt: 0,
        memory,
        avoid: BTreeSet::new(),
        start_deadline: Moment::from_millis(3_600_000),
        from: None,
        is_canary: false,
    }
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn place(offer: &DispatchDecision) -> Option<EndpointId> {
    match offer {
        DispatchDecision::Go(endpoint) => Some(endpoint.clone()),
        _ => None,
    }
}

// A burst of long answers comes to engines whose memory is soon promised away. What runs never takes
// more than an engine has, or answers are stopped in the middle.
#[test]
fn burst_does_not_overfill_memory() {
    let mut dispatcher = dispatcher((0..3).map(engine).collect());
    let offers: Vec<DispatchDecision> =
        (0..60).map(|t| dispatcher.offer(&need(t, 0, 1, 3_500), PATIENCE, at(0))).collect();
    let placed = offers.iter().filter(|o| place(o).is_some()).count();
    assert_eq!(placed, 24);
    for number in 0..3 {
        assert!(dispatcher.book.at(&endpoint(number)).memory <= 30_000);
    }
    assert_eq!(dispatcher.waiting(), 36);
}

// Urgent requests come while less urgent ones wait. They get the first room.
#[test]
fn urgent_requests_pass() {
    let mut dispatcher = dispatcher(vec![engine(0)]);
    for ticket in 0..30 {
        dispatcher.offer(&need(ticket, 0, 1, 3_500), PATIENCE, at(0));
    }
    assert_eq!(dispatcher.offer(&need(100, 1, 0, 2_000), PATIENCE, at(5)), DispatchDecision::Wait);
    dispatcher.book.end(Ticket(0));
    let released: Vec<Ticket> = dispatcher.release(at(10)).into_iter().map(|(t, _)| t).collect();
    assert_eq!(released[0], Ticket(100));
}

// One workspace fills the queue. Another one's request is the next or next but one.
#[test]
fn large_workspace_does_not_hold_the_queue() {
    let mut dispatcher = dispatcher(vec![engine(0)]);
    for ticket in 0..40 {
        dispatcher.offer(&need(ticket, 0, 1, 3_500), PATIENCE, at(0));
    }
    dispatcher.offer(&need(100, 1, 1, 3_500), PATIENCE, at(1));
    let mut order = Vec::new();
    for ticket in 0..3 {
        dispatcher.book.end(Ticket(ticket));
        order.extend(dispatcher.release(at(10 + ticket)).into_iter().map(|(t, _)| t));
    }
    assert!(order.contains(&Ticket(100)), "{order:?}");
}

// Peers choose at the same time. What they have placed counts as if it were our own.
#[test]
fn choices_of_peers_are_seen() {
    let mut dispatcher = dispatcher((0..2).map(engine).collect());
    let peer = InstanceId::new("i-2").expect("an id");
    let full = Placed { requests: 9, memory: 28_000, reading: 0, moving: 0 };
    dispatcher.book.change_peer(&peer, &BTreeMap::from([(endpoint(0), full)]));
    for ticket in 0..6 {
        let offer = dispatcher.offer(&need(ticket, 0, 1, 3_500), PATIENCE, at(0));
        assert_eq!(place(&offer), Some(endpoint(1)));
    }
    dispatcher.book.change_peer(&peer, &BTreeMap::from([(endpoint(0), Placed::default())]));
    let offer = dispatcher.offer(&need(50, 0, 1, 3_500), PATIENCE, at(0));
    assert_eq!(place(&offer), Some(endpoint(0)));
}

// Long prompts come together. They are spread over engines that read nothing yet, and one engine
// does not get more than it reads in about a second.
#[test]
fn prompts_are_spread() {
    let mut dispatcher = dispatcher((0..4).map(engine).collect());
    let mut engines = BTreeSet::new();
    for ticket in 0..4 {
        let need = DispatchRequest { prompt: 3_000, ..need(ticket, 0, 1, 3_500) };
        engines.extend(place(&dispatcher.offer(&need, PATIENCE, at(0))));
    }
    assert_eq!(engines.len(), 4);
    for ticket in 4..40 {
        let need = DispatchRequest { prompt: 3_000, ..need(ticket, 0, 1, 3_500) };
        dispatcher.offer(&need, PATIENCE, at(0));
    }
    for number in 0..4 {
        assert!(dispatcher.book.at(&endpoint(number)).reading <= 8_000);
    }
}

// One endpoint fails what it gets while its registration is fine. Most requests go to the others,
// and it is tried again once it answers.
#[test]
fn failing_endpoint_gets_less() {
    let mut dispatcher = dispatcher((0..3).map(plain).collect());
    let mut got = [0; 3];
    for ticket in 0..300 {
        let now = at(ticket * 20);
        let offer = dispatcher.offer(&need(ticket, 0, 1, 0), PATIENCE, now);
        let chosen = place(&offer).expect("room");
        let number = (0..3).find(|n| endpoint(*n) == chosen).expect("known");
        got[number] += 1;
        let health = dispatcher.book.health_mut(&chosen);
        if number == 0 {
            health.failed(now);
        } else {
            health.succeeded(now);
        }
        dispatcher.book.end(Ticket(ticket));
    }
    assert!(got[0] < 40 && got[0] > 0, "{got:?}");
    assert!(got[1] > 90 && got[2] > 90, "{got:?}");
}

// An endpoint can't be reached. It is left alone for a pause; if it is the only one it is used all
// the same.
#[test]
fn unreachable_endpoint_is_left_alone() {
    let mut two = dispatcher((0..2).map(plain).collect());
    two.book.health_mut(&endpoint(0)).lost(at(0));
    for ticket in 0..6 {
        let offer = two.offer(&need(ticket, 0, 1, 0), PATIENCE, at(100));
        assert_eq!(place(&offer), Some(endpoint(1)));
        two.book.end(Ticket(ticket));
    }
    let mut one = dispatcher(vec![plain(0)]);
    one.book.health_mut(&endpoint(0)).lost(at(0));
    assert!(place(&one.offer(&need(9, 0, 1, 0), PATIENCE, at(100))).is_some());
}

// More comes than is served, for long. Whoever can't get room in its time is refused as it comes,
// with a time to come back that differs between clients.
#[test]
fn saturation_refuses_at_once_and_spreads() {
    let mut dispatcher = dispatcher(vec![plain(0)]);
    let mut refused = BTreeSet::new();
    let mut running = std::collections::VecDeque::new();
    for ticket in 0..4_000 {
        let now = at(ticket * 5);
        match dispatcher.offer(&need(ticket, 0, 1, 0), Duration::from_millis(300), now) {
            DispatchDecision::Go(_) => running.push_back(Ticket(ticket)),
            DispatchDecision::Wait => {}
            DispatchDecision::Refuse(wait) => {
                refused.insert(wait);
            }
        }
        if ticket % 4 == 0
            && let Some(ended) = running.pop_front()
        {
            dispatcher.book.end(ended);
            running.extend(dispatcher.release(now).into_iter().map(|(t, _)| t));
        }
    }
    assert!(refused.len() > 100, "{}", refused.len());
    assert!(dispatcher.waiting() < 80, "{}", dispatcher.waiting());
    assert!(refused.iter().all(|w| *w < Duration::from_secs(4)));
}

// A request needs more memory than any engine has. It is refused at once, not held.
#[test]
fn request_that_fits_nowhere_is_refused() {
    let mut dispatcher = dispatcher(vec![engine(0)]);
    let offer = dispatcher.offer(&need(1, 0, 1, 40_000), PATIENCE, at(0));
    assert!(matches!(offer, DispatchDecision::Refuse(_)));
}

// A generation leaves its engine. It goes to the same failure domain although an engine elsewhere is
// a little emptier: a copy between domains takes twice as long.
#[test]
fn copies_stay_near() {
    let far = Candidate { domain: domain("far"), ..engine(1) };
    let mut dispatcher = dispatcher(vec![engine(0), far]);
    dispatcher.offer(&need(1, 0, 1, 3_500), PATIENCE, at(0));
    let moving = DispatchRequest { from: Some(domain("near")), ..need(2, 0, 1, 3_500) };
    assert_eq!(dispatcher.choose_move_target(&moving, at(0)), Some(endpoint(0)));
    let moving = DispatchRequest { from: Some(domain("far")), ..need(3, 0, 1, 3_500) };
    assert_eq!(dispatcher.choose_move_target(&moving, at(0)), Some(endpoint(1)));
}

// Engines are full for longer than users are content to wait. A request that has just come gets the
// next room before one that is late anyway, and the late one gets room that nobody else wants.
#[test]
fn late_requests_wait_behind_those_in_time() {
    let mut dispatcher = dispatcher(vec![plain(0)]);
    for ticket in 0..6 {
        assert!(place(&dispatcher.offer(&need(ticket, 0, 1, 0), PATIENCE, at(0))).is_some());
    }
    let old = DispatchRequest { start_deadline: at(500), ..need(10, 0, 1, 0) };
    assert_eq!(dispatcher.offer(&old, PATIENCE, at(0)), DispatchDecision::Wait);
    dispatcher.release(at(600));
    let new = DispatchRequest { start_deadline: at(1_400), ..need(11, 0, 1, 0) };
    assert_eq!(dispatcher.offer(&new, PATIENCE, at(900)), DispatchDecision::Wait);
    dispatcher.book.end(Ticket(0));
    assert_eq!(dispatcher.release(at(950)), [(Ticket(11), endpoint(0))]);
    dispatcher.book.end(Ticket(1));
    assert_eq!(dispatcher.release(at(960)), [(Ticket(10), endpoint(0))]);
}

// An engine dies while the store is away, so that its entry stays. All that it had is lost, and it
// looks like the emptiest to everybody. A peer has found that nobody listens there; neither requests
// nor copies go there until its next word is due, and then it is tried again.
#[test]
fn engine_that_a_peer_found_gone_is_left_alone() {
    let mut dispatcher = dispatcher((0..2).map(engine).collect());
    let full = Placed { requests: 7, memory: 20_000, reading: 0, moving: 0 };
    let peer = InstanceId::new("i-2").expect("an id");
    dispatcher.book.change_peer(&peer, &BTreeMap::from([(endpoint(1), full)]));
    assert_eq!(dispatcher.choose_move_target(&need(0, 0, 1, 3_500), at(0)), Some(endpoint(0)));
    dispatcher.book.health_mut(&endpoint(0)).gone(at(0));
    assert_eq!(dispatcher.choose_move_target(&need(1, 0, 1, 3_500), at(400)), Some(endpoint(1)));
    assert_eq!(
        place(&dispatcher.offer(&need(2, 0, 1, 3_500), PATIENCE, at(400))),
        Some(endpoint(1))
    );
    assert_eq!(dispatcher.choose_move_target(&need(3, 0, 1, 3_500), at(600)), Some(endpoint(0)));
}

/// Instances that each send a request every 50 ms to five endpoints of which one fails all. Returns how many
/// requests failed in six seconds, and how many each endpoint got.
fn failures_of(is_told: bool, fails: impl Fn(usize, usize) -> bool) -> (usize, Vec<usize>) {
    const INSTANCES: usize = 20;
    let mut fleet: Vec<Dispatcher> = (0..INSTANCES)
        .map(|n| {
            let mut dispatcher = Dispatcher::new(&domain("near"), n as u64);
            dispatcher.set_candidates(BTreeMap::from([(service(), (0..5).map(plain).collect())]));
            dispatcher
        })
        .collect();
    let (mut failed, mut got, mut ticket) = (0, vec![0; 5], 0);
    for ms in (0..6_000).step_by(50) {
        for dispatcher in &mut fleet {
            ticket += 1;
            let offer = dispatcher.offer(&need(ticket, 0, 1, 0), Duration::ZERO, at(ms));
            let id = place(&offer).expect("room");
            dispatcher.book.end(Ticket(ticket));
            let number = (0..5).find(|n| endpoint(*n) == id).expect("an endpoint");
            got[number] += 1;
            let health = dispatcher.book.health_mut(&id);
            if fails(number, usize::try_from(ticket).expect("a number")) {
                failed += 1;
                health.failed(at(ms));
            } else {
                health.succeeded(at(ms));
            }
        }
        for own in (0..INSTANCES).filter(|_| is_told && ms % 100 == 0) {
            for (id, counted) in fleet[own].book.take_failures() {
                for (_, peer) in fleet.iter_mut().enumerate().filter(|(n, _)| *n != own) {
                    peer.book.health_mut(&id).record_counts(counted, true, at(ms));
                }
            }
        }
    }
    (failed, got)
}

// An endpoint says that it is well and fails all that it gets. Alone each instance goes on sending it a part
// of its requests; told by the others, all leave it after some of them.
#[test]
fn failing_endpoint_is_left_by_all() {
    let fails = |number: usize, _: usize| number == 2;
    let (alone, _) = failures_of(false, fails);
    let (told, _) = failures_of(true, fails);
    assert!(told * 3 < alone, "{told} told, {alone} alone");
}

// Some requests fail wherever they are sent. No endpoint may be left for it.
#[test]
fn requests_that_fail_everywhere_move_nothing() {
    let (_, got) = failures_of(true, |_, ticket| ticket % 7 == 0);
    let even = got.iter().sum::<usize>() / got.len();
    assert!(got.iter().all(|n| *n * 2 > even && *n < even * 2), "{got:?}");
}
