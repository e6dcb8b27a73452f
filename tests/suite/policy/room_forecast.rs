//! Forecasts of room at engines, refusals by them and the times of retries.

mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::{
    Candidate, DispatchDecision, DispatchRequest, Dispatcher, PlacedLoad, Refusal, RefusalReason,
    Released, RetrySchedule, RoomForecast,
};
use nutmeggrade_policy::queue::Lane;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use world::{Client, Pattern, World};

use super::dispatch::{at, dispatcher, request, service_endpoint};
use super::{endpoint, workspace};

/// Memory of each request.
const MEMORY: u64 = 3_000;
/// Requests that an engine holds.
const HELD: u64 = 9;
const PATIENCE: Duration = Duration::from_secs(3);

const BURST: Pattern =
    Pattern { engines: 24, burst: 6.0, burst_ms: 8_000, hasty: 0.0, haste: 1, doubts: false };

fn share(clients: &[&Client], holds: impl Fn(&Client) -> bool) -> f64 {
    clients.iter().filter(|c| holds(c)).count() as f64 / clients.len().max(1) as f64
}

/// Checks that at least 0.95 of the refused clients are served at the first retry, or told that none
/// helps.
fn first_retry_succeeds(burst: f64, seed: u64) {
    let clients = World::new(Pattern { burst, ..BURST }, seed).run();
    let refused: Vec<&Client> = clients.iter().filter(|c| c.refusals > 0).collect();
    let ended = share(&refused, |c| c.refusals == 1 && (c.is_whole || c.is_hopeless));
    assert!(burst < 5.0 || refused.len() > 30, "{}", refused.len());
    assert!(refused.is_empty() || ended >= 0.95, "{ended} of {}", refused.len());
    let all: Vec<&Client> = clients.iter().collect();
    assert!(share(&all, |c| c.is_whole) >= 0.99);
}

// Guards against refused clients that come back to be refused again.
cases! {first_retry_succeeds {
    usual_burst: 3.0, 1;
    heavy_burst: 6.0, 2;
    heavier_burst: 7.0, 3;
    much_heavier_burst: 8.0, 13;
}}

// Guards against clients that lose their answer because they were told that no retry helps: those
// that come back all the same are not served in time.
#[test]
fn hopeless_is_true() {
    let pattern = Pattern { burst: 10.0, burst_ms: 20_000, doubts: true, ..BURST };
    let clients = World::new(pattern, 4).run();
    let told: Vec<&Client> = clients.iter().filter(|c| c.is_hopeless).collect();
    assert!(told.len() > 100, "{}", told.len());
    let served = share(&told, |c| c.is_whole);
    assert!(served <= 0.05, "{served} of {}", told.len());
}

/// Checks that clients that come back early take little from the others.
fn haste_gains_nothing(burst: f64, seed: u64) {
    let hasty = Pattern { burst, hasty: 0.33, haste: 10, ..BURST };
    let whole = |pattern| {
        let clients = World::new(pattern, seed).run();
        share(&clients.iter().filter(|c| !c.is_hasty).collect::<Vec<_>>(), |c| c.is_whole)
    };
    let (with, without) = (whole(hasty), whole(Pattern { haste: 1, ..hasty }));
    assert!(with >= without - 0.02, "{with} after {without}");
}

// Guards against clients that retry at ten times the rate and are served instead of others.
cases! {haste_gains_nothing {
    heavy_burst: 6.0, 5;
    ten_times_the_load: 10.0, 16;
}}

// Guards against retries after a burst of refusals that come faster than capacity becomes free.
#[test]
fn retries_stay_within_the_capacity_of_their_second() {
    let rate = 900_000.0;
    let mut schedule = RetrySchedule::new();
    let mut rng = ChaCha8Rng::seed_from_u64(8);
    let mut due: BTreeMap<u64, u64> = BTreeMap::new();
    let mut delays = [Vec::new(), Vec::new()];
    for n in 0..5_000 {
        let now = at(10_000 + n * 2 / 5);
        let priority = if n % 10 == 0 { 0 } else { 2 };
        let refused = DispatchRequest {
            deadline: now.after(Duration::from_mins(1)),
            ..request(n, 0, priority, MEMORY)
        };
        let delay = schedule.book(&refused, Duration::from_secs(1), rate, &mut rng, now);
        assert!(delay <= Duration::from_secs(20));
        *due.entry(now.after(delay).since_start().as_secs()).or_default() += MEMORY;
        delays[usize::from(priority.min(1))].push(delay);
    }
    assert!(due.values().all(|memory| *memory as f64 <= 1.2 * rate), "{due:?}");
    let mean = |all: &Vec<Duration>| {
        all.iter().sum::<Duration>() / u32::try_from(all.len()).expect("a count")
    };
    assert!(mean(&delays[0]) * 2 < mean(&delays[1]), "urgent ones come first");
}

fn released(count: u32) -> Released {
    Released { count, memory: u64::from(count) * MEMORY }
}

// Guards against refusals by a rate that is not known, and against waits without bound or with a
// panic once nothing is released any more.
#[test]
fn forecast_without_releases() {
    let mut forecast = RoomForecast::new();
    assert_eq!(forecast.rate(at(60_000)), None);
    forecast.record(Released { count: 0, memory: 0 }, at(60_000));
    assert_eq!(forecast.rate(at(70_000)), None);
    for ms in (70_000..75_000).step_by(10) {
        forecast.record(released(1), at(ms));
        assert_eq!(forecast.rate(at(ms)).is_some(), ms >= 70_500);
    }
    let wait =
        |ms, count: u64| forecast.rate(at(ms)).expect("a rate").wait((count * MEMORY) as f64);
    let seconds = |from, to| Duration::from_millis(from)..Duration::from_millis(to);
    assert!(seconds(900, 1_010).contains(&wait(75_000, 100)), "{:?}", wait(75_000, 100));
    assert!(seconds(15_000, 25_000).contains(&wait(95_000, 1)), "about the time since the last");
    assert_eq!(wait(1_000_000_000, 100), Duration::from_hours(1));
    assert_eq!(wait(75_000, u64::MAX / MEMORY), Duration::from_hours(1));
}

fn engine(number: usize) -> Candidate {
    Candidate { slots: 24, memory: Some(30_000), ..service_endpoint(number) }
}

/// Returns a dispatcher with two full engines, and now. The instance has released a request each 100 ms
/// at one; a peer did so at the other until `peer_until`, and reported each with the next request.
fn full_dispatcher(peer_until: u64) -> (Dispatcher, Moment) {
    let mut dispatcher = dispatcher(vec![engine(0), engine(1)]);
    let peer = InstanceId::new("i-2").expect("an id");
    for ticket in 0..100 {
        let ms = ticket * 100;
        let load = PlacedLoad { requests: 9, memory: 28_000, reading: 0, moving: 0 };
        let next = PlacedLoad { reading: MEMORY, ..load };
        for load in [load, next].into_iter().filter(|_| ms == 0 || ms < peer_until) {
            dispatcher.load_table.change_peer(&peer, &BTreeMap::from([(endpoint(1), load)]));
        }
        dispatcher.load_table.end(Ticket(ticket.max(HELD) - HELD));
        let decision =
            dispatcher.request_placement(&request(ticket, 0, 1, MEMORY), PATIENCE, at(ms));
        assert_eq!(decision, DispatchDecision::Go(endpoint(0)));
    }
    (dispatcher, at(9_900))
}

fn ask(dispatcher: &mut Dispatcher, request: &DispatchRequest, now: Moment) -> Option<Refusal> {
    match dispatcher.request_placement(request, PATIENCE, now) {
        DispatchDecision::Refuse(refusal) => Some(refusal),
        DispatchDecision::Wait => None,
        DispatchDecision::Go(endpoint) => panic!("{endpoint} is full"),
    }
}

/// Checks how many requests wait before the next is refused on arrival.
fn queue_is_as_long_as_can_be_served(peer_until: u64, expected: std::ops::Range<usize>) {
    let (mut dispatcher, now) = full_dispatcher(peer_until);
    let refusals: Vec<Option<Refusal>> =
        (100..190).map(|t| ask(&mut dispatcher, &request(t, 0, 1, MEMORY), now)).collect();
    let waiting = refusals.iter().take_while(|r| r.is_none()).count();
    assert!(expected.contains(&waiting), "{waiting}");
    assert_eq!(dispatcher.waiting(), waiting);
    let refusal = refusals.last().copied().flatten().expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::Forecast);
    assert_eq!(refusal.ahead, waiting as u64 * MEMORY);
    assert!(refusal.forecast > Some(PATIENCE));
    let urgent = ask(&mut dispatcher, &request(200, 0, 0, MEMORY), now);
    assert_eq!(urgent, None, "only more urgent ones are ahead of it");
}

// Guards against requests that are refused although they would find room in time, against others that
// wait in vain, and against a rate that counts peers whose reports are lost.
cases! {queue_is_as_long_as_can_be_served {
    own_releases_only: 0, 30..40;
    releases_of_peers_count: 10_000, 60..75;
    reports_of_peers_stop: 5_000, 30..40;
}}

// Guards against requests that wait to the end of their time after the releases have become rare.
#[test]
fn waiting_requests_are_refused_once_it_is_known() {
    let (mut dispatcher, now) = full_dispatcher(0);
    for ticket in 100..120 {
        assert_eq!(ask(&mut dispatcher, &request(ticket, 0, 1, MEMORY), now), None);
    }
    dispatcher.release(now);
    assert!(dispatcher.take_refused().is_empty());
    for ms in (0..2_800).step_by(100) {
        assert!(dispatcher.release(now.after(Duration::from_millis(ms))).is_empty());
    }
    let refused = dispatcher.take_refused();
    assert!(refused.len() >= 10, "{}", refused.len());
    assert_eq!(refused.len() + dispatcher.waiting(), 20);
    let first = refused.first().map(|(ticket, _)| *ticket);
    assert!(first >= Some(Ticket(110)), "those at the end are refused first, not {first:?}");
}

// Guards against a request that waited as long as it may, and whose refusal blames a forecast.
#[test]
fn end_of_the_wait_is_no_forecast() {
    let (mut dispatcher, now) = full_dispatcher(0);
    assert_eq!(ask(&mut dispatcher, &request(100, 0, 1, MEMORY), now), None);
    dispatcher.release(now.after(PATIENCE));
    assert!(dispatcher.take_refused().is_empty());
    dispatcher.release(now.after(PATIENCE + Duration::from_millis(100)));
    let reasons: Vec<_> = dispatcher.take_refused().iter().map(|(_, r)| r.reason).collect();
    assert_eq!(reasons, [RefusalReason::Timeout]);
}

// Guards against a service with few and long generations in which a request is refused shortly before
// one of them ends: the next in the queue waits, whatever the forecast.
#[test]
fn next_in_the_queue_waits() {
    let (mut dispatcher, now) = full_dispatcher(0);
    let later = now.after(Duration::from_mins(1));
    assert_eq!(ask(&mut dispatcher, &request(100, 0, 1, MEMORY), later), None);
    assert!(ask(&mut dispatcher, &request(101, 0, 1, MEMORY), later).is_some());
    dispatcher.release(later.after(Duration::from_millis(2_900)));
    assert!(dispatcher.take_refused().is_empty());
}

// Guards against a panic or an endless wait of a request whose time limit has passed.
#[test]
fn deadline_in_the_past_is_hopeless() {
    let (mut dispatcher, now) = full_dispatcher(0);
    let past =
        DispatchRequest { deadline: at(5), start_deadline: at(1), ..request(200, 0, 255, MEMORY) };
    let refusal = ask(&mut dispatcher, &past, now).expect("a refusal");
    assert_eq!(refusal.reason, RefusalReason::Hopeless);
    assert!(refusal.delay > Duration::ZERO);
    let refusal = dispatcher.cancel(&past, now);
    assert_eq!(refusal.reason, RefusalReason::Hopeless);
}

// Guards against a peer that reports nonsense: it counts as what the engine can hold at most.
#[test]
fn absurd_reports_change_little() {
    let (mut dispatcher, now) = full_dispatcher(10_000);
    let peer = InstanceId::new("i-2").expect("an id");
    let full = PlacedLoad { requests: 9, memory: 28_000, reading: 0, moving: 0 };
    let absurd = PlacedLoad { requests: u32::MAX, memory: u64::MAX, reading: u64::MAX, moving: 0 };
    for load in [absurd, PlacedLoad::default(), full] {
        dispatcher.load_table.change_peer(&peer, &BTreeMap::from([(endpoint(1), load)]));
    }
    let refused =
        (100..300).filter(|t| ask(&mut dispatcher, &request(*t, 0, 1, MEMORY), now).is_some());
    assert!(refused.count() > 50);
}

// Guards against clients that are refused and come back behind newcomers, and against newcomers that
// gain by asking earlier than others with the same time limit.
#[test]
fn less_time_left_goes_first_within_a_workspace() {
    let with = |ticket, seconds: u64| DispatchRequest {
        deadline: at(seconds * 1_000),
        ..request(ticket, 0, 1, MEMORY)
    };
    let mut lane = Lane::new();
    for request in [with(1, 30), with(2, 30), with(3, 20), with(4, 40)] {
        lane.push(&request);
    }
    lane.push(&DispatchRequest { workspace: workspace(1), ..with(5, 90) });
    assert_eq!(lane.memory_ahead(&with(6, 30)), 4 * MEMORY);
    let waits: BTreeMap<u64, u64> =
        lane.waits().into_iter().map(|(r, ahead)| (r.ticket.0, ahead / MEMORY)).collect();
    assert_eq!(waits, BTreeMap::from([(1, 2), (2, 3), (3, 1), (4, 4), (5, 1)]));
    let mut order = Vec::new();
    while !lane.is_empty() {
        let head = lane.heads().next().map(|r| r.ticket).expect("a request");
        lane.take(head, MEMORY as f64);
        order.push(head.0);
    }
    order.retain(|ticket| *ticket != 5);
    assert_eq!(order, [3, 1, 2, 4]);
    assert_eq!((lane.memory(), lane.len()), (0, 0));
}
