//! Choice of the peer from which an instance fetches a missed change.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use nutmeggrade_core::peer::{FleetBeacon, InstanceAddresses, Revisions};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::fleet_view::{FleetView, SourceScope};

use super::heartbeat::heartbeat;

const DOMAINS: u16 = 5;
const INSTANCES: u16 = 300;
const NOW: Moment = Moment::from_millis(60_000);
/// Revision that every instance has read.
const OLD_REVISION: u64 = 10;
/// Revision of a change that some instances have read.
const NEW_REVISION: u64 = 11;

fn name(number: u16) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).expect("an id")
}

fn domain(number: u16) -> u16 {
    number % DOMAINS
}

fn addresses(number: u16) -> InstanceAddresses {
    let [high, low] = number.to_be_bytes();
    let at = |port| SocketAddr::from(([10, 0, high, low], port));
    let domain = DomainId::new(&format!("d-{}", domain(number))).expect("an id");
    InstanceAddresses { domain, client: at(80), beacon: at(90), control: at(70) }
}

/// Returns the view of an instance that has received heartbeats of all others, some of which have
/// read the change.
fn view(own: u16, has_read: &BTreeSet<u16>) -> FleetView {
    let mut view = FleetView::new(&name(own), &addresses(own), &[]);
    for other in (0..INSTANCES).filter(|other| *other != own) {
        let config = if has_read.contains(&other) { NEW_REVISION } else { OLD_REVISION };
        let revisions = Revisions { config, ..Revisions::default() };
        let beacon = heartbeat(&name(other), &addresses(other), 10);
        view.receive_heartbeat(&FleetBeacon { revisions, ..beacon }, NOW);
    }
    view
}

/// Returns the instance from which an instance fetches the change.
fn source(own: u16, has_read: &BTreeSet<u16>, scope: SourceScope) -> Option<u16> {
    let is_ahead = |revisions: &Revisions| revisions.config > OLD_REVISION;
    let (address, is_near) =
        view(own, has_read).source(is_ahead, scope, usize::from(own / DOMAINS), NOW)?;
    let source_instance =
        (0..INSTANCES).find(|n| addresses(*n).control == address).expect("an instance");
    assert_eq!(is_near, domain(source_instance) == domain(own));
    Some(source_instance)
}

// Guards against a link that is saturated for seconds because all instances fetch a change from the
// only one that has read it.
#[test]
fn change_crosses_to_each_domain_once() {
    let has_read = BTreeSet::from([0]);
    let askers: Vec<u16> =
        (1..INSTANCES).filter(|n| source(*n, &has_read, SourceScope::Near).is_some()).collect();
    let far = askers.iter().filter(|n| domain(**n) != domain(0));
    assert_eq!(far.count(), usize::from(DOMAINS) - 1);
}

// Guards against an instance that serves all others of its failure domain.
#[test]
fn neighbours_share_the_calls() {
    let has_read: BTreeSet<u16> = (0..25).collect();
    let sources: BTreeSet<u16> = (25..INSTANCES)
        .map(|own| {
            let source_instance = source(own, &has_read, SourceScope::Near).expect("a neighbour");
            assert_eq!(domain(source_instance), domain(own));
            source_instance
        })
        .collect();
    assert_eq!(sources, has_read);
}

// Guards against a failure domain that waits for its first instance when that one can't reach those
// that have the change.
#[test]
fn other_domains_are_asked_after_a_wait() {
    let has_read = BTreeSet::from([0]);
    assert!((1..INSTANCES).all(|own| source(own, &has_read, SourceScope::Everywhere) == Some(0)));
}

// Guards against fetches from a peer that has no newer revision, or that is leaving.
#[test]
fn no_peer_is_asked_without_need() {
    assert_eq!(source(1, &BTreeSet::new(), SourceScope::Everywhere), None);
    let mut view = view(1, &BTreeSet::from([6]));
    let leaving = FleetBeacon { leaving: true, ..heartbeat(&name(6), &addresses(6), 11) };
    let revisions = Revisions { config: NEW_REVISION, ..Revisions::default() };
    view.receive_heartbeat(&FleetBeacon { revisions, ..leaving }, NOW);
    assert_eq!(view.source(|r| r.config > OLD_REVISION, SourceScope::Everywhere, 0, NOW), None);
}
