//! Rollout state as instances hold it.

use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{
    RolloutId, RolloutNotice, RolloutOrder, RolloutPhase, RolloutReport, RolloutState,
    RolloutTally, StoredRollout,
};
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_state::registry::Registry;
use nutmeggrade_state::rollout::RolloutTable;

const NOW: Moment = Moment::from_millis(60_000);

fn service() -> ServiceId {
    ServiceId::new("desk").expect("an id")
}

fn version(name: &str) -> VersionId {
    VersionId::new(name).expect("an id")
}

fn order(created: u64, to: &str) -> RolloutOrder {
    let id = RolloutId { created, version: version(to) };
    RolloutOrder { service: service(), id, duration: Duration::from_secs(12) }
}

fn stored(revision: u64, state: Option<RolloutState>) -> StoredRollout {
    StoredRollout::new(order(9, "v2"), revision, state)
}

fn notice(revision: u64, phase: RolloutPhase) -> RolloutNotice {
    let age = Duration::from_secs(3);
    RolloutNotice { order: order(9, "v2"), revision, phase, share: 0.0, age }
}

fn phase(table: &RolloutTable) -> Option<RolloutPhase> {
    table.view(&service(), NOW).map(|view| view.phase)
}

fn later(seconds: u64) -> Moment {
    NOW.after(Duration::from_secs(seconds))
}

fn endpoint(id: &str, of: &str) -> EndpointInfo {
    EndpointInfo {
        id: EndpointId::new(id).expect("an id"),
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        domain: DomainId::new("veluwe").expect("an id"),
        slots: 4,
        leaving: false,
        cold_left: Duration::ZERO,
        version: Some(version(of)),
        born: 5,
    }
}

/// Returns whether the old and the new endpoint get requests.
fn serves(registry: &Registry) -> (bool, bool) {
    let may = |id: &str| registry.may_send(&EndpointId::new(id).expect("an id"));
    (may("old"), may("new"))
}

// Guards against a phase that goes back when notices arrive reordered or twice.
#[test]
fn phases_only_advance() {
    let mut table = RolloutTable::new();
    assert!(table.put(&stored(10, None), NOW).is_some());
    assert!(table.receive_notice(&notice(11, RolloutPhase::Reverting), NOW));
    for early in [RolloutPhase::Canary, RolloutPhase::Switching, RolloutPhase::Reverting] {
        assert!(!table.receive_notice(&notice(11, early), NOW));
    }
    assert!(table.put(&stored(11, Some(RolloutState::InProgress)), NOW).is_none());
    assert_eq!(phase(&table), Some(RolloutPhase::Reverting));
}

// Guards against two concurrent judges, of which one has completed the version that the other
// reverts: the state that the store accepted first is final, and no later one is written.
#[test]
fn store_decides_between_two_judges() {
    let mut table = RolloutTable::new();
    table.put(&stored(10, Some(RolloutState::InProgress)), NOW);
    table.receive_notice(&notice(10, RolloutPhase::Reverting), NOW);
    let wanted: Vec<_> =
        table.unwritten_states().into_iter().map(|c| (c.revision, c.state)).collect();
    assert_eq!(wanted, [(10, RolloutState::Reverted)]);
    table.put(&stored(11, Some(RolloutState::Completed)), NOW);
    assert_eq!(phase(&table), Some(RolloutPhase::Completed));
    assert!(table.unwritten_states().is_empty());
}

// Guards against a replaced order that returns by a late notice: the new order starts from the
// beginning.
#[test]
fn changed_order_starts_over() {
    let mut table = RolloutTable::new();
    table.put(&stored(10, Some(RolloutState::InProgress)), NOW);
    table.receive_notice(&notice(10, RolloutPhase::Switching), NOW);
    table.put(&StoredRollout::new(order(9, "v3"), 12, None), NOW);
    assert_eq!(phase(&table), Some(RolloutPhase::Held));
    assert!(!table.receive_notice(&notice(10, RolloutPhase::Switching), NOW));
    assert!(table.put(&stored(11, Some(RolloutState::Completed)), NOW).is_none());
    assert_eq!(phase(&table), Some(RolloutPhase::Held));
}

// Guards against an instance without access to the store that serves a new version too early: it
// receives the order from a peer and holds the version as long as the others.
#[test]
fn order_is_learned_from_a_peer() {
    let mut table = RolloutTable::new();
    assert!(table.receive_notice(&notice(10, RolloutPhase::Canary), NOW));
    let view = table.view(&service(), NOW).expect("a roll-out");
    assert_eq!((view.phase, view.age), (RolloutPhase::Canary, Duration::from_secs(3)));
    // An instance that has not read the object can't write its state.
    let mut without_object = RolloutTable::new();
    without_object.receive_notice(&notice(0, RolloutPhase::Reverting), NOW);
    assert!(without_object.unwritten_states().is_empty());
}

// Guards against a late decision by an instance that started after the order and counts the order's
// age from its own start.
#[test]
fn order_is_older_than_the_instance() {
    let started = Moment::from_millis(500);
    let mut table = RolloutTable::new();
    table.put(&stored(10, None), started);
    table.receive_notice(&notice(10, RolloutPhase::Canary), started);
    let age = |now| table.view(&service(), now).map(|view| view.age);
    assert_eq!(age(started), Some(Duration::from_secs(3)));
    assert_eq!(age(Moment::from_millis(1_500)), Some(Duration::from_secs(4)));
}

// Guards against an instance without access to the store that alternates between a replaced order
// and its successor, which it hears from two peers.
#[test]
fn newer_order_replaces_an_older_one() {
    let newer = RolloutNotice { order: order(9, "v3"), ..notice(12, RolloutPhase::Held) };
    let mut table = RolloutTable::new();
    table.receive_notice(&notice(10, RolloutPhase::Canary), NOW);
    assert!(table.receive_notice(&newer, NOW));
    assert!(!table.receive_notice(&notice(10, RolloutPhase::Canary), NOW));
    assert_eq!(phase(&table), Some(RolloutPhase::Held));
}

// Guards against requests that keep going to the new version after the instance that granted its
// share died.
#[test]
fn grant_runs_out() {
    let mut table = RolloutTable::new();
    table.put(&stored(10, None), NOW);
    let granted = RolloutNotice { share: 0.25, ..notice(10, RolloutPhase::Canary) };
    table.receive_notice(&granted, NOW);
    assert!(table.share(&service(), NOW) > 0.2);
    assert!(table.share(&service(), later(2)) == 0.0);
}

/// Checks whether the old and the new version serve in a phase.
fn serve(phase: RolloutPhase, expected: (bool, bool)) {
    let mut table = RolloutTable::new();
    table.put(&stored(10, None), NOW);
    table.receive_notice(&notice(10, phase), NOW);
    let mut registry = Registry::new();
    registry.replace(&[endpoint("old", "v1"), endpoint("new", "v2")], false, NOW);
    registry.set_versions(table.rules(NOW));
    assert_eq!(serves(&registry), expected);
}

cases! {serve {
    held: RolloutPhase::Held, (true, false);
    canary: RolloutPhase::Canary, (true, true);
    switching: RolloutPhase::Switching, (false, true);
    completed: RolloutPhase::Completed, (false, true);
    reverting: RolloutPhase::Reverting, (true, false);
    reverted: RolloutPhase::Reverted, (true, false);
    withdrawn: RolloutPhase::Withdrawn, (true, false);
}}

// Guards against a service without endpoints because its only version, which is the ordered one, is
// held.
#[test]
fn only_version_serves() {
    let mut table = RolloutTable::new();
    table.put(&stored(10, None), NOW);
    let mut registry = Registry::new();
    registry.replace(&[endpoint("new", "v2")], false, NOW);
    registry.set_versions(table.rules(NOW));
    assert!(serves(&registry).1);
}

// Guards against endpoints of an old version that are held long after a completed rollout: they
// may serve once those that were stopped are certainly gone. An instance that starts afterwards
// holds none.
#[test]
fn completed_rollout_is_over() {
    let mut table = RolloutTable::new();
    table.put(&stored(10, None), NOW);
    table.put(&stored(11, Some(RolloutState::Completed)), NOW);
    assert!(table.rules(NOW).contains_key(&service()));
    assert!(table.rules(later(11)).is_empty());
    let mut fresh = RolloutTable::new();
    fresh.put(&stored(11, Some(RolloutState::Completed)), NOW);
    assert!(fresh.rules(NOW).is_empty());
}

// Guards against a new version that serves because its order was removed before a decision: it
// stays held, and the order is forgotten with the version's last endpoint.
#[test]
fn removed_order_holds_the_new_version() {
    let mut table = RolloutTable::new();
    table.put(&stored(10, None), NOW);
    let notices = table.replace(&[], NOW);
    assert_eq!(notices.first().map(|n| n.phase), Some(RolloutPhase::Withdrawn));
    table.remove_withdrawn(|_, _| true);
    assert!(table.rules(NOW).contains_key(&service()));
    table.remove_withdrawn(|_, _| false);
    assert!(table.rules(NOW).is_empty());
}

fn report(incarnation: u64, requests: u32, phase: RolloutPhase, running: u32) -> RolloutReport {
    let tally = RolloutTally { requests, exposed: requests / 10, ..RolloutTally::default() };
    let instance = InstanceId::new("i-2").expect("an id");
    let id = order(9, "v2").id;
    RolloutReport { instance, incarnation, service: service(), id, phase, running, tally }
}

// Guards against lost counts when an instance is killed and restarted: those of its earlier
// incarnation still count, and a late report reduces nothing.
#[test]
fn counts_of_earlier_lives_remain() {
    let mut table = RolloutTable::new();
    table.put(&stored(10, None), NOW);
    table.take_report(&report(1, 200, RolloutPhase::Canary, 3));
    table.take_report(&report(1, 100, RolloutPhase::Canary, 2));
    table.take_report(&report(2, 50, RolloutPhase::Canary, 0));
    let tally = table.view(&service(), NOW).expect("a roll-out").tally;
    assert_eq!((tally.requests, tally.exposed), (250, 25));
}

// Guards against cut responses: old endpoints stop as soon as the state is written, while an
// instance has not reported, has not received the switch, or still has a request there.
#[test]
fn old_version_stops_only_when_no_request_runs_there() {
    let mut table = RolloutTable::new();
    table.put(&stored(10, None), NOW);
    table.receive_notice(&notice(10, RolloutPhase::Switching), NOW);
    let peer = InstanceId::new("i-2").expect("an id");
    let is_clear = |table: &RolloutTable, own| table.is_clear(&service(), own, [&peer].into_iter());
    assert!(!is_clear(&table, 0));
    table.take_report(&report(1, 10, RolloutPhase::Canary, 0));
    assert!(!is_clear(&table, 0));
    table.take_report(&report(1, 20, RolloutPhase::Switching, 1));
    assert!(!is_clear(&table, 0));
    table.take_report(&report(1, 30, RolloutPhase::Switching, 0));
    assert!(is_clear(&table, 0));
    assert!(!is_clear(&table, 1));
    // The instance restarts and takes requests before it hears of the switch.
    table.take_report(&report(2, 1, RolloutPhase::Canary, 0));
    assert!(!is_clear(&table, 0));
}
