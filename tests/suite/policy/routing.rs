//! Where work goes.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::router::Router;
use nutmeggrade_policy::{GenerationRequest, Ticket, Verdict};

use super::{ask, endpoint, engine, model, scheduler, warm};

fn place(verdict: &Verdict) -> Option<EndpointId> {
    match verdict {
        Verdict::Go { endpoint, .. } => Some(endpoint.clone()),
        _ => None,
    }
}

// All instances read the same old report in which one engine is empty. If each sends everything
// there, it is the fullest one before the next report.
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
            scheduler.report(&endpoint(number), &warm(used), Moment::ZERO);
        }
        for ticket in 0..6 {
            let verdict = scheduler.ask(&ask(ticket, true), Moment::ZERO);
            let endpoint = place(&verdict).expect("room enough");
            *counts.entry(endpoint).or_default() += 1;
        }
    }
    let best = counts.get(&endpoint(4)).copied().unwrap_or(0);
    assert!(best <= 14, "{best} of 42 to one engine of twelve");
    assert!(counts.len() >= 8, "{counts:?}");
}

// Prompts that begin alike are read from an engine's cache, as long as it isn't much fuller.
#[test]
fn prefix_stays_where_it_is_cached() {
    let mut scheduler = scheduler(12);
    let mut places = BTreeSet::new();
    for ticket in 0..6 {
        let same = GenerationRequest { prefix: 77, ..ask(ticket, false) };
        let now = Moment::from_millis(ticket * 3_000);
        places.extend(place(&scheduler.ask(&same, now)));
        scheduler.token(Ticket(ticket), now);
    }
    assert!(places.len() <= 2, "{places:?}");
    let mut crowd = BTreeSet::new();
    for ticket in 100..160 {
        let same = GenerationRequest { prefix: 77, ..ask(ticket, true) };
        crowd.extend(place(&scheduler.ask(&same, Moment::from_millis(60_000))));
        scheduler.token(Ticket(ticket), Moment::from_millis(60_000));
    }
    assert!(crowd.len() >= 6, "a hot prefix spreads: {crowd:?}");
}

// An engine that leaves takes its own prefixes away and no others.
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
    let own = before.iter().filter(|b| **b == Some(endpoint(0))).count();
    assert_eq!(moved, own);
    assert!(own < 120, "{own} of 399 belonged to one of twelve");
}

// Operators take a failure domain out; what runs there runs on, and nothing new goes there.
#[test]
fn nothing_new_goes_to_a_domain_that_is_out() {
    let mut scheduler = scheduler(12);
    let left: Vec<_> = (0..12).filter(|e| e % 3 != 1).map(engine).collect();
    scheduler.set_engines(&left, Moment::from_millis(10));
    for ticket in 0..40 {
        let now = Moment::from_millis(1_000 * ticket);
        let endpoint = place(&scheduler.ask(&ask(ticket, false), now)).expect("room enough");
        assert!(left.iter().any(|e| e.id == endpoint), "{endpoint}");
        scheduler.token(Ticket(ticket), now);
    }
}

// Every engine failed the request; waiting for another would only use up its deadline.
#[test]
fn nowhere_left_is_told_at_once() {
    let mut scheduler = scheduler(2);
    let avoid = BTreeSet::from([endpoint(0), endpoint(1)]);
    let verdict = scheduler.ask(&GenerationRequest { avoid, ..ask(1, false) }, Moment::ZERO);
    assert!(matches!(verdict, Verdict::Refuse { code: Code::NoEndpoint, .. }), "{verdict:?}");
}
