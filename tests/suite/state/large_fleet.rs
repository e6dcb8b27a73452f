//! Three hundred instances in four failure domains.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::{Contacts, FleetBeacon, InstanceAddresses};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::fleet_view::{FleetView, RelayOrder};

use super::heartbeat::heartbeat;

const DOMAINS: u16 = 4;
const ALL: u16 = 300;
const NOW: Moment = Moment::from_millis(60_000);
/// Datagrams that one instance sends of a message for everybody; at 2 KB each and several messages a
/// second more would fill a link of ten megabits.
const MOST_SENT: usize = 40;

fn name(number: u16) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).expect("an id")
}

fn seat(number: u16) -> InstanceAddresses {
    let [high, low] = number.to_be_bytes();
    let at = |port| SocketAddr::from(([10, 0, high, low], port));
    let domain = DomainId::new(&format!("d-{}", number % DOMAINS)).expect("an id");
    InstanceAddresses { domain, client: at(80), beacon: at(90), control: at(70) }
}

fn beacon(number: u16, sequence: u64) -> FleetBeacon {
    heartbeat(&name(number), &seat(number), sequence)
}

/// Returns the view of an instance that has heard the first few of all instances.
fn view(own: u16, heard: u16, seeds: &[SocketAddr]) -> FleetView {
    let mut view = FleetView::new(&name(own), &seat(own), seeds);
    for other in (0..heard).filter(|other| *other != own) {
        view.hear(&beacon(other, 10), NOW);
    }
    view
}

/// Has an instance told whom others know, as those do whom it introduces itself to.
fn welcome(view: &mut FleetView, own: u16) {
    for host in 1..=4 {
        let mut host = self::view(host, ALL, &[]);
        for _ in 0..3 {
            let (_, others) = host.welcome(&beacon(own, 1)).expect("a welcome");
            view.add_contacts(&others, NOW);
        }
    }
}

// All instances start together. After two seconds each has heard a third of the others, since a heartbeat
// goes to some in turn. Limits of the fleet are divided by all of them; divided by those that were heard,
// all together would take three times what is allowed.
#[test]
fn limits_are_divided_by_those_not_heard_yet() {
    let mut fresh = view(299, 100, &[]);
    welcome(&mut fresh, 299);
    assert_eq!(fresh.sharers(NOW), usize::from(ALL));
}

// A cold endpoint bears 57 requests a second, fewer than there are instances, so that 57 of them may send one
// each. Each has heard only a few of the others, and still no more than 57 take themselves for one of them.
#[test]
fn turns_at_a_cold_endpoint_are_not_taken_twice() {
    const BOUND: usize = 57;
    let mut all = Contacts::new();
    for n in 0..ALL {
        all.entry(seat(n).domain).or_default().push(seat(n).beacon);
    }
    let endpoint = EndpointId::new("e-1").expect("an id");
    let takes_turn = |own: &u16| {
        let mut view = view(*own, 20, &[]);
        view.add_contacts(&all, NOW);
        view.rank(&endpoint, NOW) < BOUND
    };
    assert_eq!((0..ALL).filter(takes_turn).count(), BOUND);
}

// An instance that has heard few sends a message for everybody. It knows from others which failure domain
// each instance is in, so that it does not send to each by itself, most of them far away.
#[test]
fn message_of_an_instance_that_heard_few_is_handed_on() {
    let mut fresh = view(299, 20, &[]);
    welcome(&mut fresh, 299);
    let audience = fresh.broadcast_recipients(RelayOrder::LastHeard, NOW);
    assert!(audience.direct.is_empty(), "{} direct", audience.direct.len());
    assert!(audience.relays.len() <= MOST_SENT, "{}", audience.relays.len());
}

// A message for everybody goes through some instances of each failure domain. Each gets it, and nobody
// sends it to more than a few dozen.
#[test]
fn message_reaches_everybody_through_a_few() {
    let sender = view(0, ALL, &[]);
    let audience = sender.broadcast_recipients(RelayOrder::LastHeard, NOW);
    assert!(audience.direct.len() + audience.relays.len() <= MOST_SENT);
    let mut got: BTreeSet<SocketAddr> = audience.direct.iter().copied().collect();
    let numbers: BTreeMap<SocketAddr, u16> = (0..ALL).map(|n| (seat(n).beacon, n)).collect();
    for (relay, share) in audience.relays {
        let sent = view(numbers[&relay], ALL, &[]).neighbours_in_part(share);
        assert!(sent.len() <= MOST_SENT, "{}", sent.len());
        got.insert(relay);
        got.extend(sent);
    }
    got.remove(&seat(0).beacon);
    assert_eq!(got.len(), usize::from(ALL) - 1);
}

// Each change of placed work takes its own way through the fleet, hundreds of datagrams a second for each instance.
#[test]
fn senders_share_their_forwarders() {
    let forwarders: BTreeSet<SocketAddr> = (0..ALL)
        .step_by(7)
        .flat_map(|own| view(own, ALL, &[]).broadcast_recipients(RelayOrder::Common, NOW).relays)
        .map(|(address, _)| address)
        .collect();
    // Four for each failure domain of 75. Neighbours hear of it from the sender.
    assert!(forwarders.len() <= usize::from(DOMAINS) * 4, "{}", forwarders.len());
    assert_eq!(view(0, ALL, &[]).broadcast_recipients(RelayOrder::Common, NOW).direct.len(), 74);
}

// In an outage each instance that finds the store away is passed over, until the whole fleet has asked.
#[test]
fn outage_is_found_out_by_few() {
    let asks_within = |own: u16, wait: Duration| {
        let mut view = FleetView::new(&name(own), &seat(own), &[]);
        for other in (0..ALL).filter(|other| *other != own) {
            view.hear(&FleetBeacon { reads: false, ..beacon(other, 10) }, NOW);
        }
        view.is_reader(NOW) && view.takeover_wait(NOW) <= wait
    };
    let count = |ms| (0..ALL).filter(|n| asks_within(*n, Duration::from_millis(ms))).count();
    assert_eq!(count(0), 6);
    assert!(count(4_000) <= 20, "{}", count(4_000));
    assert_eq!(count(600_000), usize::from(ALL));
}

// An instance dies. Clients of its failure domain hear of it for no longer than in a small fleet, though
// each instance hears each of its seventy-four neighbours only now and then.
#[test]
fn dead_neighbour_is_not_named_for_long() {
    let mut view = view(0, ALL, &[]);
    let near = seat(0).domain;
    let after = |ms| NOW.after(Duration::from_millis(ms));
    for other in (4..ALL).filter(|n| n % DOMAINS == 0 && *n != 8) {
        view.hear(&beacon(other, 11), after(4_000));
    }
    let named = view.entries(Some(&near), false, after(5_000));
    assert_eq!(named.len(), 74);
    assert!(!named.contains(&seat(8).client));
}

// An instance is cut off from all others for two minutes, and they from it. All have forgotten each other;
// it still knows where to begin, and its heartbeats go there.
#[test]
fn instance_that_was_cut_off_comes_back() {
    let seeds = [seat(1).beacon, seat(2).beacon];
    let mut view = view(0, 7, &seeds);
    view.forget(NOW.after(Duration::from_mins(2)));
    assert_eq!(view.targets(), seeds);
}
