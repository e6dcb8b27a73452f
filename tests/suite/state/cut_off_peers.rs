//! Views of a fleet in which some instances can't reach the endpoints of a service.

use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::{FleetBeacon, InstanceAddresses, Revisions};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_state::fleet_view::FleetView;

use super::heartbeat::heartbeat;

const NOW: Moment = Moment::from_millis(60_000);

fn name(number: u8) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).expect("an id")
}

fn service(name: &str) -> ServiceId {
    ServiceId::new(name).expect("an id")
}

fn addresses(number: u8) -> InstanceAddresses {
    let at = |port| SocketAddr::from(([10, 0, 0, number], port));
    let domain = DomainId::new("veluwe").expect("an id");
    InstanceAddresses { domain, client: at(80), beacon: at(90), control: at(70) }
}

/// Returns the heartbeat of an instance that serves, and can't reach these services.
fn beacon(number: u8, sequence: u64, unreachable: &[&str]) -> FleetBeacon {
    let unreachable = unreachable.iter().map(|name| service(name)).collect();
    let revisions = Revisions { config: 1, endpoints: 1, ..Revisions::default() };
    let beacon = heartbeat(&name(number), &addresses(number), sequence);
    FleetBeacon { unreachable, revisions, ..beacon }
}

/// Returns the view of instance 1 with peers up to `last`, of which the first `cut` can't reach
/// `desk`.
fn view(last: u8, cut: u8) -> FleetView {
    let mut view = FleetView::new(&name(1), &addresses(1), &[]);
    for number in 2..=last {
        let unreachable: &[&str] = if number < 2 + cut { &["desk"] } else { &[] };
        view.receive_heartbeat(&beacon(number, 1, unreachable), NOW);
    }
    view
}

// Guards against clients that are sent to instances that can serve them only through peers, and
// against a directory that names nobody, or too few, because of a cut.
#[test]
fn cut_off_instances_are_named_only_if_there_are_few_others() {
    let mut fleet = view(7, 3);
    assert_eq!(fleet.entries(None, false, NOW).len(), 4);
    fleet.set_cut_off(true);
    assert_eq!(fleet.entries(None, false, NOW).len(), 3);
    assert_eq!(view(7, 5).entries(None, false, NOW).len(), 7);
    assert_eq!(view(7, 6).entries(None, false, NOW).len(), 7);
}

// Guards against requests that are forwarded to a peer that can't serve them: one that can't reach
// the service, leaves, is silent or has read no endpoints.
#[test]
fn only_peers_that_can_serve_get_forwarded_requests() {
    let mut fleet = view(5, 1);
    fleet.receive_heartbeat(&FleetBeacon { leaving: true, ..beacon(3, 2, &[]) }, NOW);
    let revisions = Revisions::default();
    fleet.receive_heartbeat(&FleetBeacon { revisions, ..beacon(4, 2, &[]) }, NOW);
    let names = |fleet: &FleetView, service_name: &str, at: Moment| -> Vec<InstanceId> {
        let peers = fleet.forwarding_peers(&service(service_name), at);
        peers.into_iter().map(|(name, _)| name).collect()
    };
    assert_eq!(names(&fleet, "desk", NOW), [name(5)]);
    assert_eq!(names(&fleet, "writers", NOW), [name(2), name(5)]);
    fleet.note_unreachable(&name(5), &service("desk"));
    assert!(names(&fleet, "desk", NOW).is_empty());
    fleet.receive_heartbeat(&beacon(5, 2, &[]), NOW);
    assert_eq!(names(&fleet, "desk", NOW), [name(5)]);
    assert!(names(&fleet, "desk", NOW.after(Duration::from_secs(10))).is_empty());
}

// Guards against an engine that nobody polls while the store is away, because the instance that
// ranks first for it can't reach it.
#[test]
fn cut_off_instance_is_not_first_for_an_endpoint() {
    let endpoint = EndpointInfo {
        id: EndpointId::new("e-1").expect("an id"),
        service: service("desk"),
        address: SocketAddr::from(([10, 0, 0, 99], 80)),
        domain: DomainId::new("veluwe").expect("an id"),
        version: None,
        slots: 1,
        leaving: false,
        cold_left: Duration::ZERO,
        born: 1,
    };
    let is_first = |cut| view(7, cut).ranks_first_for(&endpoint, NOW);
    assert!(!is_first(0));
    assert!(is_first(6));
}
