//! Which peer an instance asks for what it has missed.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use nutmeggrade_core::peer::{FleetBeacon, InstanceAddresses, Revisions};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::fleet_view::{FleetView, SourceScope};

use super::heartbeat::heartbeat;

const DOMAINS: u16 = 5;
const ALL: u16 = 300;
const NOW: Moment = Moment::from_millis(60_000);
/// Revision that every instance has read.
const OLD: u64 = 10;
/// Revision of a change that some have read.
const NEW: u64 = 11;

fn name(number: u16) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).expect("an id")
}

fn domain(number: u16) -> u16 {
    number % DOMAINS
}

fn seat(number: u16) -> InstanceAddresses {
    let [high, low] = number.to_be_bytes();
    let at = |port| SocketAddr::from(([10, 0, high, low], port));
    let domain = DomainId::new(&format!("d-{}", domain(number))).expect("an id");
    InstanceAddresses { domain, client: at(80), beacon: at(90), control: at(70) }
}

/// Returns the view of an instance that has heard all others, and who of them has read the change.
fn view(own: u16, has_read: &BTreeSet<u16>) -> FleetView {
    let mut view = FleetView::new(&name(own), &seat(own), &[]);
    for other in (0..ALL).filter(|other| *other != own) {
        let config = if has_read.contains(&other) { NEW } else { OLD };
        let revisions = Revisions { config, ..Revisions::default() };
        let beacon = heartbeat(&name(other), &seat(other), 10);
        view.hear(&FleetBeacon { revisions, ..beacon }, NOW);
    }
    view
}

/// Returns whom an instance asks for the change.
fn source(own: u16, has_read: &BTreeSet<u16>, reach: SourceScope) -> Option<u16> {
    let is_ahead = |revisions: &Revisions| revisions.config > OLD;
    let (address, is_near) =
        view(own, has_read).source(is_ahead, reach, usize::from(own / DOMAINS), NOW)?;
    let asked = (0..ALL).find(|n| seat(*n).control == address).expect("an instance");
    assert_eq!(is_near, domain(asked) == domain(own));
    Some(asked)
}

// All instances ask the one that has read a change, and its link is full for seconds.
#[test]
fn change_crosses_to_each_domain_once() {
    let has_read = BTreeSet::from([0]);
    let askers: Vec<u16> =
        (1..ALL).filter(|n| source(*n, &has_read, SourceScope::Near).is_some()).collect();
    let far = askers.iter().filter(|n| domain(**n) != domain(0));
    assert_eq!(far.count(), usize::from(DOMAINS) - 1);
}

// All instances of a failure domain ask the same neighbour.
#[test]
fn neighbours_share_the_calls() {
    let has_read: BTreeSet<u16> = (0..25).collect();
    let asked: BTreeSet<u16> = (25..ALL)
        .map(|own| {
            let asked = source(own, &has_read, SourceScope::Near).expect("a neighbour");
            assert_eq!(domain(asked), domain(own));
            asked
        })
        .collect();
    assert_eq!(asked, has_read);
}

// The first instance of a failure domain can't reach those that have the change, and its neighbours wait for it.
#[test]
fn whoever_has_waited_asks_far_away() {
    let has_read = BTreeSet::from([0]);
    assert!((1..ALL).all(|own| source(own, &has_read, SourceScope::Everywhere) == Some(0)));
}

// An instance asks a peer that knows no more, or that is about to end.
#[test]
fn nobody_is_asked_without_need() {
    assert_eq!(source(1, &BTreeSet::new(), SourceScope::Everywhere), None);
    let mut view = view(1, &BTreeSet::from([6]));
    let leaving = FleetBeacon { leaving: true, ..heartbeat(&name(6), &seat(6), 11) };
    let revisions = Revisions { config: NEW, ..Revisions::default() };
    view.hear(&FleetBeacon { revisions, ..leaving }, NOW);
    assert_eq!(view.source(|r| r.config > OLD, SourceScope::Everywhere, 0, NOW), None);
}
