//! Endpoints that register, leave, lapse and come back.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_state::registry::{Change, Leaving, Registry};

fn info(number: u8) -> EndpointInfo {
    EndpointInfo {
        id: id(number),
        service: ServiceId::new("desk").expect("an id"),
        address: SocketAddr::from(([10, 0, 0, number], 80)),
        domain: DomainId::new("veluwe").expect("an id"),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        version: None,
        born: 5,
    }
}

fn id(number: u8) -> EndpointId {
    EndpointId::new(&format!("e-{number}")).expect("an id")
}

const NOW: Moment = Moment::from_millis(10_000);

// An endpoint said that it leaves. An older entry that arrives late must not bring it back; its next
// life under the same id may come.
#[test]
fn leaving_stays_until_the_next_life() {
    let mut registry = Registry::new();
    assert!(matches!(registry.put(&info(1), NOW), Some(Change::Joined(_))));
    let leaving = EndpointInfo { leaving: true, ..info(1) };
    assert!(matches!(registry.put(&leaving, NOW), Some(Change::Left(_, Leaving::Draining))));
    assert_eq!(registry.put(&info(1), NOW), None);
    assert!(!registry.may_send(&id(1)));
    let reborn = EndpointInfo { born: 6, ..info(1) };
    assert!(matches!(registry.put(&reborn, NOW), Some(Change::Joined(_))));
    assert!(registry.may_send(&id(1)));
    assert_eq!(registry.put(&leaving, NOW), None);
    assert!(registry.may_send(&id(1)));
}

// Entries are missing in the first listing after an outage. They count until they had time to come
// back; without an outage they are gone at once.
#[test]
fn missing_after_an_outage_has_time() {
    let mut registry = Registry::new();
    registry.replace(&[info(1), info(2), info(3)], false, NOW);
    assert_eq!(registry.replace(&[info(1), info(2)], false, NOW).len(), 1);
    assert_eq!(registry.replace(&[info(2)], true, NOW), [Change::Missing(info(1))]);
    assert!(registry.replace(&[info(2)], true, NOW).is_empty());
    assert!(registry.may_send(&id(1)));
    let later = NOW.after(Duration::from_millis(1_700));
    assert!(registry.expire(later).is_empty());
    let over = NOW.after(Duration::from_millis(1_800));
    assert_eq!(registry.expire(over), [Change::Left(info(1), Leaving::Removed)]);
    assert!(!registry.may_send(&id(1)));
    assert!(registry.may_send(&id(2)));
}

// An entry that was missing comes back in time, and is not dropped later.
#[test]
fn entry_that_comes_back_stays() {
    let mut registry = Registry::new();
    registry.put(&info(1), NOW);
    registry.mark_missing(&id(1), NOW);
    registry.put(&info(1), NOW.after(Duration::from_secs(1)));
    assert!(registry.expire(NOW.after(Duration::from_mins(1))).is_empty());
    assert!(registry.may_send(&id(1)));
}

// An endpoint leaves without a word just after an outage, and its entry vanishes as a lapsed one would.
// What runs there goes elsewhere at once: whoever waits until the entry could have come back has no time
// left for it. Where most are missing the store has lost them, and nothing moves.
#[test]
fn what_runs_at_few_missing_endpoints_moves() {
    let mut registry = Registry::new();
    registry.replace(&[info(1), info(2), info(3)], false, NOW);
    registry.mark_missing(&id(1), NOW);
    assert!(registry.should_move_work(&id(1)));
    assert!(!registry.should_move_work(&id(2)));
    registry.mark_missing(&id(2), NOW);
    assert!(!registry.should_move_work(&id(1)));
    assert!(registry.may_send(&id(1)));
    registry.put(&info(2), NOW);
    assert!(registry.should_move_work(&id(1)));
    registry.put(&info(1), NOW);
    assert!(!registry.should_move_work(&id(1)));
}

// A failure domain is out. Its endpoints get nothing, and are back as soon as it is.
#[test]
fn domain_that_is_out_is_out() {
    let mut registry = Registry::new();
    registry.put(&info(1), NOW);
    registry.set_out_domains(&BTreeSet::from([info(1).domain]));
    assert!(!registry.may_send(&id(1)));
    assert_eq!(registry.usable().count(), 0);
    registry.set_out_domains(&BTreeSet::new());
    assert!(registry.may_send(&id(1)));
}

fn of(number: u8, version: &str, born: u64) -> EndpointInfo {
    let version = Some(VersionId::new(version).expect("an id"));
    EndpointInfo { version, born, ..info(number) }
}

// An instance that has just started does not know yet whether one of two versions is held back. It uses the one
// that was there first.
#[test]
fn oldest_version_serves_first() {
    let mut registry = Registry::new();
    registry.replace(&[of(1, "v2", 50), of(2, "v1", 20), of(3, "v1", 70)], false, NOW);
    registry.set_versions(registry.provisional_rules(false, NOW));
    assert_eq!([1, 2, 3].map(|n| registry.may_send(&id(n))), [false, true, true]);
    registry.set_versions(registry.provisional_rules(true, NOW));
    assert!(registry.may_send(&id(1)));
    registry.replace(&[of(1, "v2", 50)], false, NOW);
    assert!(registry.provisional_rules(false, NOW).is_empty());
}

// Endpoints of a new version register while the watch of orders has gone silent. They get nothing until the order
// could be read, and their full part then if there is none.
#[test]
fn new_version_waits_for_its_order() {
    let mut registry = Registry::new();
    registry.replace(&[of(1, "v1", 20)], false, NOW);
    assert!(!registry.is_first_of_version(&of(2, "v1", 90)));
    assert!(registry.is_first_of_version(&of(2, "v2", 90)));
    let later = |ms| NOW.after(Duration::from_millis(ms));
    registry.put(&of(2, "v2", 90), later(5_000));
    registry.set_versions(registry.provisional_rules(true, later(5_500)));
    assert_eq!([1, 2].map(|n| registry.may_send(&id(n))), [true, false]);
    registry.set_versions(registry.provisional_rules(true, later(6_000)));
    assert_eq!([1, 2].map(|n| registry.may_send(&id(n))), [true, true]);
}
