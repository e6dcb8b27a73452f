//! Choice of engines for requests.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::router::Router;
use nutmeggrade_policy::{GenerationRequest, Ticket, Verdict};

use super::{endpoint, engine, model, request, scheduler, warm_report};

fn chosen_endpoint(verdict: &Verdict) -> Option<EndpointId> {
    match verdict {
        Verdict::Go { endpoint, .. } => Some(endpoint.clone()),
        _ => None,
    }
}

// Guards against herding: all instances read the same old report with one empty engine, and if each
// sent everything there, it would be the fullest before the next report.
#[test]
fn no_herd_towards_the_engine_that_looked_best() {
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for node in 0..7 {
        let mut scheduler = nutmeggrade_policy::Scheduler::new(node);
        scheduler.set_preset(&nutmeggrade_fakes::fleet::preset().expect("a preset"));
        let engines: Vec<_> = (0..12).map(engine).collect();
        scheduler.set_engines(&engines, Moment::ZERO);
        for number in 0..12 {
            let used = if number == 4 { 0 } else { 8_000 };
            scheduler.report(&endpoint(number), &warm_report(used), Moment::ZERO);
        }
        for ticket in 0..6 {
            let verdict = scheduler.admit(&request(ticket, true), Moment::ZERO);
            let endpoint = chosen_endpoint(&verdict).expect("an engine with room");
            *counts.entry(endpoint).or_default() += 1;
        }
    }
    let best = counts.get(&endpoint(4)).copied().unwrap_or(0);
    assert!(best <= 14, "{best} of 42 to one engine of twelve");
    assert!(counts.len() >= 8, "{counts:?}");
}

// Guards against lost cache hits: prompts with the same prefix go to the engine that caches it, as
// long as it isn't much fuller.
#[test]
fn prefix_stays_where_it_is_cached() {
    let mut scheduler = scheduler(12);
    let mut places = BTreeSet::new();
    for ticket in 0..6 {
        let same = GenerationRequest { prefix: 77, ..request(ticket, false) };
        let now = Moment::from_millis(ticket * 3_000);
        places.extend(chosen_endpoint(&scheduler.admit(&same, now)));
        scheduler.token(Ticket(ticket), now);
    }
    assert!(places.len() <= 2, "{places:?}");
    let mut spread = BTreeSet::new();
    for ticket in 100..160 {
        let same = GenerationRequest { prefix: 77, ..request(ticket, true) };
        spread.extend(chosen_endpoint(&scheduler.admit(&same, Moment::from_millis(60_000))));
        scheduler.token(Ticket(ticket), Moment::from_millis(60_000));
    }
    assert!(spread.len() >= 6, "a hot prefix spreads: {spread:?}");
}

// Guards against reshuffled prefixes: when an engine leaves, only its own prefixes move.
#[test]
fn prefixes_move_little() {
    let all: Vec<_> = (0..12).map(engine).collect();
    let mut router = Router::new(1);
    router.set_engines(&all);
    let first = |router: &Router, prefix| router.prefix_engines(&model(), prefix).next().cloned();
    let before: Vec<_> = (1..400).map(|p| first(&router, p)).collect();
    router.set_engines(&all[1..]);
    let after: Vec<_> = (1..400).map(|p| first(&router, p)).collect();
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a).count();
    let owned = before.iter().filter(|b| **b == Some(endpoint(0))).count();
    assert_eq!(moved, owned);
    assert!(owned < 120, "{owned} of 399 belonged to one of twelve");
}

// Guards against new requests to a failure domain that operators took out; running requests
// continue.
#[test]
fn nothing_new_goes_to_a_domain_that_is_out() {
    let mut scheduler = scheduler(12);
    let remaining: Vec<_> = (0..12).filter(|e| e % 3 != 1).map(engine).collect();
    scheduler.set_engines(&remaining, Moment::from_millis(10));
    for ticket in 0..40 {
        let now = Moment::from_millis(1_000 * ticket);
        let endpoint = chosen_endpoint(&scheduler.admit(&request(ticket, false), now))
            .expect("an engine with room");
        assert!(remaining.iter().any(|e| e.id == endpoint), "{endpoint}");
        scheduler.token(Ticket(ticket), now);
    }
}

// Guards against a request that waits until its deadline although every engine has failed it.
#[test]
fn request_without_an_engine_left_is_refused_at_once() {
    let mut scheduler = scheduler(2);
    let avoid = BTreeSet::from([endpoint(0), endpoint(1)]);
    let verdict = scheduler.admit(&GenerationRequest { avoid, ..request(1, false) }, Moment::ZERO);
    assert!(matches!(verdict, Verdict::Refuse { code: Code::NoEndpoint, .. }), "{verdict:?}");
}
