//! The registry of endpoints, which register, leave, expire and return.

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

// Guards against a leaving endpoint that gets requests again because an older entry arrives late;
// its next incarnation under the same id may get them.
#[test]
fn leaving_endpoint_stays_out_until_its_next_incarnation() {
    let mut registry = Registry::new();
    assert!(matches!(registry.put(&info(1), NOW), Some(Change::Joined(_))));
    let leaving = EndpointInfo { leaving: true, ..info(1) };
    assert!(matches!(registry.put(&leaving, NOW), Some(Change::Left(_, Leaving::Draining))));
    assert_eq!(registry.put(&info(1), NOW), None);
    assert!(!registry.may_send(&id(1)));
    let restarted = EndpointInfo { born: 6, ..info(1) };
    assert!(matches!(registry.put(&restarted, NOW), Some(Change::Joined(_))));
    assert!(registry.may_send(&id(1)));
    assert_eq!(registry.put(&leaving, NOW), None);
    assert!(registry.may_send(&id(1)));
}

// Guards against an endpoint that has said that it leaves and gets requests again, because its entry
// expired with the store and was written anew before it ended.
#[test]
fn leaving_endpoint_whose_entry_returns_stays_out() {
    let mut registry = Registry::new();
    registry.put(&info(1), NOW);
    assert!(matches!(registry.leave(&id(1), NOW), Some(Change::Left(_, Leaving::Draining))));
    assert_eq!(registry.leave(&id(1), NOW), None);
    assert!(matches!(registry.remove(&id(1), NOW), Some(Change::Left(_, Leaving::Removed))));
    let later = NOW.after(Duration::from_secs(5));
    registry.expire(later);
    registry.replace(&[info(1)], false, later);
    assert!(!registry.may_send(&id(1)));
    registry.put(&EndpointInfo { born: 6, ..info(1) }, later);
    assert!(registry.may_send(&id(1)));
}

// Guards against endpoints that are dropped because the first listing after an outage lacks their
// entries: they stay until the entries had time to return. Without an outage they are removed at
// once.
#[test]
fn missing_entry_after_an_outage_has_time_to_return() {
    let mut registry = Registry::new();
    registry.replace(&[info(1), info(2), info(3)], false, NOW);
    assert_eq!(registry.replace(&[info(1), info(2)], false, NOW).len(), 1);
    assert_eq!(registry.replace(&[info(2)], true, NOW), [Change::Missing(info(1))]);
    assert!(registry.replace(&[info(2)], true, NOW).is_empty());
    assert!(registry.may_send(&id(1)));
    let later = NOW.after(Duration::from_millis(1_700));
    assert!(registry.expire(later).is_empty());
    let expired_at = NOW.after(Duration::from_millis(1_800));
    assert_eq!(registry.expire(expired_at), [Change::Left(info(1), Leaving::Removed)]);
    assert!(!registry.may_send(&id(1)));
    assert!(registry.may_send(&id(2)));
}

// Guards against an endpoint that is dropped after its missing entry returned.
#[test]
fn entry_that_comes_back_stays() {
    let mut registry = Registry::new();
    registry.put(&info(1), NOW);
    registry.mark_missing(&id(1), NOW);
    registry.put(&info(1), NOW.after(Duration::from_secs(1)));
    assert!(registry.expire(NOW.after(Duration::from_mins(1))).is_empty());
    assert!(registry.may_send(&id(1)));
}

// Guards against work that stays at an endpoint which vanished just after an outage, when its entry
// may only have expired: the work moves at once, since no time is left for it after a wait for the
// entry. Where most entries are missing, the store has lost them, and nothing moves.
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

// Guards against requests to a failure domain that is out, and against endpoints that stay out
// after it returned.
#[test]
fn domain_that_is_out_gets_no_requests() {
    let mut registry = Registry::new();
    registry.put(&info(1), NOW);
    registry.set_out_domains(&BTreeSet::from([info(1).domain]));
    assert!(!registry.may_send(&id(1)));
    assert_eq!(registry.usable().count(), 0);
    registry.set_out_domains(&BTreeSet::new());
    assert!(registry.may_send(&id(1)));
}

fn versioned(number: u8, version: &str, born: u64) -> EndpointInfo {
    let version = Some(VersionId::new(version).expect("an id"));
    EndpointInfo { version, born, ..info(number) }
}

// Guards against requests to a held version from an instance that has just started and has not read
// the orders: it uses the version that registered first.
#[test]
fn oldest_version_serves_first() {
    let mut registry = Registry::new();
    registry.replace(
        &[versioned(1, "v2", 50), versioned(2, "v1", 20), versioned(3, "v1", 70)],
        false,
        NOW,
    );
    registry.set_versions(registry.provisional_rules(false, NOW));
    assert_eq!([1, 2, 3].map(|n| registry.may_send(&id(n))), [false, true, true]);
    registry.set_versions(registry.provisional_rules(true, NOW));
    assert!(registry.may_send(&id(1)));
    registry.replace(&[versioned(1, "v2", 50)], false, NOW);
    assert!(registry.provisional_rules(false, NOW).is_empty());
}

// Guards against requests to a new version while the watch of orders is silent: its endpoints get
// none until the order could be read, and their full share then if there is no order.
#[test]
fn new_version_waits_for_its_order() {
    let mut registry = Registry::new();
    registry.replace(&[versioned(1, "v1", 20)], false, NOW);
    assert!(!registry.is_first_of_version(&versioned(2, "v1", 90)));
    assert!(registry.is_first_of_version(&versioned(2, "v2", 90)));
    let later = |ms| NOW.after(Duration::from_millis(ms));
    registry.put(&versioned(2, "v2", 90), later(5_000));
    registry.set_versions(registry.provisional_rules(true, later(5_500)));
    assert_eq!([1, 2].map(|n| registry.may_send(&id(n))), [true, false]);
    registry.set_versions(registry.provisional_rules(true, later(6_000)));
    assert_eq!([1, 2].map(|n| registry.may_send(&id(n))), [true, true]);
}

// Guards against crashed endpoints that pass for running until their entries expire, while their
// successors at the same addresses get requests.
#[test]
fn incarnation_ends_with_its_entry_or_successor() {
    let mut registry = Registry::new();
    registry.put(&info(1), NOW);
    registry.put(&info(2), NOW);
    assert!(!registry.has_ended(&id(1), 5));
    assert!(registry.has_ended(&id(1), 4));
    assert!(registry.has_ended(&id(3), 5));
    registry.put(&EndpointInfo { address: info(1).address, born: 9, ..info(3) }, NOW);
    assert!(registry.has_ended(&id(1), 5));
    assert!(!registry.has_ended(&id(3), 9));
    registry.mark_missing(&id(2), NOW);
    assert!(!registry.has_ended(&id(2), 5));
}

// Guards against streams that go on at the only version left, though another one that served until
// lately may have begun them.
#[test]
fn service_has_one_version_once_others_are_long_gone() {
    let mut registry = Registry::new();
    let service = ServiceId::new("desk").expect("an id");
    let only = |registry: &Registry| {
        let versions = registry.recent_versions(&service);
        versions.first().filter(|_| versions.len() == 1).map(ToString::to_string)
    };
    assert!(registry.recent_versions(&service).is_empty());
    registry.put(&versioned(1, "v1", 5), NOW);
    assert_eq!(only(&registry).as_deref(), Some("v1"));
    registry.put(&versioned(2, "v2", 5), NOW);
    assert_eq!(only(&registry), None);
    registry.remove(&id(1), NOW);
    assert_eq!(only(&registry), None);
    let v1 = VersionId::new("v1").expect("an id");
    assert!(registry.lacks_version(&service, &v1));
    registry.expire(NOW.after(Duration::from_mins(1)));
    assert_eq!(only(&registry), None);
    registry.expire(NOW.after(Duration::from_secs(121)));
    assert_eq!(only(&registry).as_deref(), Some("v2"));
    // The next process with the id has another version.
    registry.put(&versioned(2, "v3", 6), NOW.after(Duration::from_secs(130)));
    assert_eq!(only(&registry), None);
}
