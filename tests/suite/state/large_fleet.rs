//! Views of the fleet with three hundred instances in four failure domains.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::{Contacts, FleetBeacon, InstanceAddresses};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::fleet_view::{FleetView, RelayOrder};

use super::heartbeat::heartbeat;

const DOMAINS: u16 = 4;
const INSTANCES: u16 = 300;
const NOW: Moment = Moment::from_millis(60_000);
/// Datagrams that one instance sends for a broadcast; at 2 KB each and several broadcasts a second,
/// more would fill a link of ten megabits.
const MAX_SENT: usize = 40;

fn name(number: u16) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).expect("an id")
}

fn addresses(number: u16) -> InstanceAddresses {
    let [high, low] = number.to_be_bytes();
    let at = |port| SocketAddr::from(([10, 0, high, low], port));
    let domain = DomainId::new(&format!("d-{}", number % DOMAINS)).expect("an id");
    InstanceAddresses { domain, client: at(80), beacon: at(90), control: at(70) }
}

fn beacon(number: u16, sequence: u64) -> FleetBeacon {
    heartbeat(&name(number), &addresses(number), sequence)
}

/// Returns the view of an instance that has heartbeats of the first `peer_count` instances.
fn view(own: u16, peer_count: u16, seeds: &[SocketAddr]) -> FleetView {
    let mut view = FleetView::new(&name(own), &addresses(own), seeds);
    for other in (0..peer_count).filter(|other| *other != own) {
        view.receive_heartbeat(&beacon(other, 10), NOW);
    }
    view
}

/// Adds the contacts that an instance gets from the peers to which it introduces itself.
fn add_newcomer_contacts(view: &mut FleetView, own: u16) {
    for host in 1..=4 {
        let mut host = self::view(host, INSTANCES, &[]);
        for _ in 0..3 {
            let (_, contacts) = host.contacts_for_newcomer(&beacon(own, 1)).expect("contacts");
            view.add_contacts(&contacts, NOW);
        }
    }
}

// Guards against fleet limits that are exceeded threefold when all instances start together: two
// seconds after the start each has received heartbeats of a third of the others, since they are sent
// to some in turn, but the limits must be divided by all.
#[test]
fn limits_are_divided_by_those_not_heard_yet() {
    let mut fresh = view(299, 100, &[]);
    add_newcomer_contacts(&mut fresh, 299);
    assert_eq!(fresh.instance_count(NOW), usize::from(INSTANCES));
}

// Guards against overload of a cold endpoint whose limit of 57 requests a second is below the
// number of instances: 57 of them may send one each, and no more than 57 claim a turn although each
// has received heartbeats of only a few others.
#[test]
fn turns_at_a_cold_endpoint_are_not_taken_twice() {
    const BOUND: usize = 57;
    let mut all = Contacts::new();
    for n in 0..INSTANCES {
        all.entry(addresses(n).domain).or_default().push(addresses(n).beacon);
    }
    let endpoint = EndpointId::new("e-1").expect("an id");
    let takes_turn = |own: &u16| {
        let mut view = view(*own, 20, &[]);
        view.add_contacts(&all, NOW);
        view.rank(&endpoint, NOW) < BOUND
    };
    assert_eq!((0..INSTANCES).filter(takes_turn).count(), BOUND);
}

// Guards against an instance that has received heartbeats of few others and so sends a broadcast to
// each instance directly, most of them in other failure domains: it gets the domain of each
// instance from its peers.
#[test]
fn broadcast_of_an_instance_with_few_peers_is_relayed() {
    let mut fresh = view(299, 20, &[]);
    add_newcomer_contacts(&mut fresh, 299);
    let audience = fresh.broadcast_recipients(RelayOrder::LastHeard, NOW);
    assert!(audience.direct.is_empty(), "{} direct", audience.direct.len());
    assert!(audience.relays.len() <= MAX_SENT, "{}", audience.relays.len());
}

// Guards against broadcasts that miss instances or load a sender's link: they go through a few
// instances of each failure domain, and none sends more than a few dozen datagrams.
#[test]
fn broadcast_reaches_every_instance_through_few_relays() {
    let sender = view(0, INSTANCES, &[]);
    let audience = sender.broadcast_recipients(RelayOrder::LastHeard, NOW);
    assert!(audience.direct.len() + audience.relays.len() <= MAX_SENT);
    let mut recipients: BTreeSet<SocketAddr> = audience.direct.iter().copied().collect();
    let numbers: BTreeMap<SocketAddr, u16> =
        (0..INSTANCES).map(|n| (addresses(n).beacon, n)).collect();
    for (relay, share) in audience.relays {
        let sent = view(numbers[&relay], INSTANCES, &[]).neighbours_in_part(share);
        assert!(sent.len() <= MAX_SENT, "{}", sent.len());
        recipients.insert(relay);
        recipients.extend(sent);
    }
    recipients.remove(&addresses(0).beacon);
    assert_eq!(recipients.len(), usize::from(INSTANCES) - 1);
}

// Guards against load changes that each take a different path, hundreds of datagrams a second at
// each instance: senders share their forwarders.
#[test]
fn senders_share_their_forwarders() {
    let forwarders: BTreeSet<SocketAddr> = (0..INSTANCES)
        .step_by(7)
        .flat_map(|own| {
            view(own, INSTANCES, &[]).broadcast_recipients(RelayOrder::Common, NOW).relays
        })
        .map(|(address, _)| address)
        .collect();
    // Four for each failure domain of 75; instances of its own domain get the change from the
    // sender.
    assert!(forwarders.len() <= usize::from(DOMAINS) * 4, "{}", forwarders.len());
    assert_eq!(
        view(0, INSTANCES, &[]).broadcast_recipients(RelayOrder::Common, NOW).direct.len(),
        74
    );
}

// Guards against an outage in which the whole fleet polls the store, because each reader that fails
// is replaced by another one.
#[test]
fn outage_is_detected_by_few_instances() {
    let asks_within = |own: u16, wait: Duration| {
        let mut view = FleetView::new(&name(own), &addresses(own), &[]);
        for other in (0..INSTANCES).filter(|other| *other != own) {
            view.receive_heartbeat(&FleetBeacon { reads: false, ..beacon(other, 10) }, NOW);
        }
        view.is_reader(NOW) && view.takeover_wait(NOW) <= wait
    };
    let count = |ms| (0..INSTANCES).filter(|n| asks_within(*n, Duration::from_millis(ms))).count();
    assert_eq!(count(0), 6);
    assert!(count(4_000) <= 20, "{}", count(4_000));
    assert_eq!(count(600_000), usize::from(INSTANCES));
}

// Guards against a dead instance that is named to clients longer than in a small fleet, because
// each instance receives heartbeats of each of its 74 domain peers only occasionally.
#[test]
fn dead_neighbour_is_not_named_for_long() {
    let mut view = view(0, INSTANCES, &[]);
    let near = addresses(0).domain;
    let after = |ms| NOW.after(Duration::from_millis(ms));
    for other in (4..INSTANCES).filter(|n| n % DOMAINS == 0 && *n != 8) {
        view.receive_heartbeat(&beacon(other, 11), after(4_000));
    }
    let named = view.entries(Some(&near), false, after(5_000));
    assert_eq!(named.len(), 74);
    assert!(!named.contains(&addresses(8).client));
}

// Guards against an instance that never rejoins after two minutes of partition, when all have
// forgotten each other: its heartbeats go to its seed addresses.
#[test]
fn partitioned_instance_rejoins() {
    let seeds = [addresses(1).beacon, addresses(2).beacon];
    let mut view = view(0, 7, &seeds);
    view.remove_silent(NOW.after(Duration::from_mins(2)));
    assert_eq!(view.targets(), seeds);
}
