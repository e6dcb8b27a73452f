//! Placement in a service with thousands of endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{
    Candidate, DispatchDecision, DispatchRequest, Dispatcher, PlacedLoad,
};

use super::dispatch::{at, request, service_endpoint};

const MAX_WAIT: Duration = Duration::from_secs(2);
const DOMAINS: usize = 5;
/// Endpoints that a decision may compare, whatever their number: at a microsecond each and a
/// hundred requests a second, 2% of a core.
const MAX_COMPARED: u64 = 200;

fn endpoint(number: usize) -> EndpointId {
    EndpointId::new(&format!("engine-{number:05}")).expect("an id")
}

fn domain(number: usize) -> DomainId {
    DomainId::new(&format!("d-{}", number % DOMAINS)).expect("an id")
}

fn engine(number: usize) -> Candidate {
    Candidate {
        id: endpoint(number),
        domain: domain(number),
        slots: 24,
        memory: Some(30_000),
        ..service_endpoint(0)
    }
}

fn dispatcher(count: usize, own_domain: usize, seed: u64) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(&domain(own_domain), seed);
    let service = request(0, 0, 1, 0).service;
    dispatcher.set_candidates(BTreeMap::from([(service, (0..count).map(engine).collect())]));
    dispatcher
}

/// Fills all engines but every `free_every`th with the load of a peer.
fn fill(dispatcher: &mut Dispatcher, count: usize, free_every: usize) {
    let full = PlacedLoad { requests: 9, memory: 29_500, reading: 0, moving: 0 };
    let filled = (0..count).filter(|n| n % free_every != 1).map(|n| (endpoint(n), full));
    let peer = InstanceId::new("i-2").expect("an id");
    dispatcher.load_table.change_peer(&peer, &filled.collect());
}

fn chosen(decision: DispatchDecision) -> Option<EndpointId> {
    match decision {
        DispatchDecision::Go(endpoint) => Some(endpoint),
        DispatchDecision::Wait | DispatchDecision::Refuse(_) => None,
    }
}

// Guards against decisions that take longer the more endpoints there are: with 9,000 engines each
// took milliseconds, most of what an instance with an eighth of a core has.
#[test]
fn decisions_compare_as_many_endpoints_at_every_size() {
    for count in [1_000, 10_000, 20_000] {
        let mut dispatcher = dispatcher(count, 0, 7);
        for ticket in 0..50 {
            let request = request(ticket, 0, 1, 3_500);
            assert!(chosen(dispatcher.request_placement(&request, MAX_WAIT, at(0))).is_some());
            let compared = dispatcher.take_compared();
            assert!(compared <= MAX_COMPARED, "{compared} of {count}");
        }
    }
}

// Guards against requests that wait or are refused while a tenth of the engines has room, because
// only a part of them is compared.
#[test]
fn room_is_found_where_a_tenth_is_free() {
    const COUNT: usize = 10_000;
    let mut dispatcher = dispatcher(COUNT, 0, 7);
    fill(&mut dispatcher, COUNT, 10);
    for ticket in 0..500 {
        let decision = dispatcher.request_placement(&request(ticket, 0, 1, 3_500), MAX_WAIT, at(0));
        let id = chosen(decision).expect("room");
        assert_eq!(id.as_str().as_bytes().last(), Some(&b'1'), "{id}");
    }
}

// Guards against engines that get far more than others although all are compared by the same load:
// 40 instances fill a fleet to half of its memory, each told of the others' choices.
#[test]
fn sampled_choices_are_balanced() {
    const COUNT: usize = 1_000;
    const INSTANCES: usize = 40;
    let mut fleet: Vec<Dispatcher> =
        (0..INSTANCES).map(|n| dispatcher(COUNT, n, n as u64)).collect();
    let mut placed = vec![0; COUNT];
    for ticket in 0..4 * COUNT {
        let own = ticket % INSTANCES;
        let request = request(ticket as u64, 0, 1, 3_500);
        let decision = fleet[own].request_placement(&request, MAX_WAIT, at(0));
        let id = chosen(decision).expect("room");
        let number = (0..COUNT).find(|n| endpoint(*n) == id).expect("an engine");
        placed[number] += 1;
        let peer = InstanceId::new(&format!("i-{own}")).expect("an id");
        let total = fleet[own].load_table.own_loads()[&id];
        for (_, other) in fleet.iter_mut().enumerate().filter(|(n, _)| *n != own) {
            other.load_table.change_peer(&peer, &BTreeMap::from([(id.clone(), total)]));
        }
    }
    assert!(placed.iter().all(|n| *n <= 6), "most {:?}", placed.iter().max());
    let idle = placed.iter().filter(|n| **n == 0).count();
    assert!(idle < COUNT / 50, "{idle} idle");
}

// Guards against a full fleet in which every request that ends makes all workspaces' waiting
// requests compare all endpoints again: that takes longer than the requests.
#[test]
fn a_full_fleet_is_compared_once_for_all_that_wait() {
    const COUNT: usize = 10_000;
    const WORKSPACES: usize = 300;
    let mut dispatcher = dispatcher(COUNT, 0, 7);
    fill(&mut dispatcher, COUNT, COUNT + 2);
    let full = PlacedLoad { requests: 9, memory: 29_500, reading: 0, moving: 0 };
    let peer = InstanceId::new("i-3").expect("an id");
    dispatcher.load_table.change_peer(&peer, &BTreeMap::from([(endpoint(1), full)]));
    for n in 0..WORKSPACES {
        let request = request(n as u64, n, 1, 3_500 + n as u64);
        let decision = dispatcher.request_placement(&request, MAX_WAIT, at(0));
        assert_eq!(decision, DispatchDecision::Wait);
    }
    dispatcher.take_compared();
    assert!(dispatcher.release(at(10)).is_empty());
    let compared = dispatcher.take_compared();
    assert!(compared <= MAX_COMPARED, "{compared}");
}

// Guards against a smaller request that stays in the queue because a larger one has found no room.
#[test]
fn smaller_requests_pass_where_larger_ones_find_no_room() {
    let mut dispatcher = dispatcher(2, 0, 7);
    let full = PlacedLoad { requests: 9, memory: 28_000, reading: 0, moving: 0 };
    let peer = InstanceId::new("i-2").expect("an id");
    let more = PlacedLoad { memory: 1_000, ..full };
    let both = |load| BTreeMap::from([(endpoint(0), load), (endpoint(1), load)]);
    dispatcher.load_table.change_peer(&peer, &both(full));
    for (ticket, workspace, memory) in [(1, 1, 4_000), (2, 2, 3_000)] {
        let waiting = DispatchRequest { prompt: 10, ..request(ticket, workspace, 1, memory) };
        let decision = dispatcher.request_placement(&waiting, MAX_WAIT, at(0));
        assert_eq!(decision, DispatchDecision::Wait);
    }
    dispatcher.load_table.change_peer(&peer, &both(PlacedLoad { memory: 25_000, ..more }));
    let released: Vec<Ticket> = dispatcher.release(at(10)).into_iter().map(|(t, _)| t).collect();
    assert!(released.contains(&Ticket(2)), "{released:?}");
}

// Guards against endpoints that stay in a pool after they were removed, or twice.
#[test]
fn changed_endpoints_are_compared_as_they_are_now() {
    let service = request(0, 0, 1, 0).service;
    let mut dispatcher = dispatcher(300, 0, 7);
    for number in 0..300 {
        dispatcher.remove_candidate(&endpoint(number));
        dispatcher.put_candidate(&service, engine(number + 1_000));
        dispatcher
            .put_candidate(&service, Candidate { domain: domain(3), ..engine(number + 1_000) });
    }
    assert_eq!(dispatcher.candidate_count(), 300);
    for ticket in 0..200 {
        let decision = dispatcher.request_placement(&request(ticket, 0, 1, 3_500), MAX_WAIT, at(0));
        let id = chosen(decision).expect("room");
        assert!(id.as_str() >= endpoint(1_000).as_str(), "{id}");
    }
}
