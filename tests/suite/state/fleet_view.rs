//! Views of the fleet: instances exchange heartbeats, fall silent and return.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::{Contacts, DomainPart, FleetBeacon, InstanceAddresses, Introduction};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::fleet_view::{FleetView, RelayOrder};

use super::heartbeat::heartbeat;

fn name(number: u8) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).expect("an id")
}

fn addresses(number: u8) -> InstanceAddresses {
    let at = |port| SocketAddr::from(([10, 0, 0, number], port));
    let domain = DomainId::new("veluwe").expect("an id");
    InstanceAddresses { domain, client: at(80), beacon: at(90), control: at(70) }
}

fn beacon(number: u8, sequence: u64) -> FleetBeacon {
    heartbeat(&name(number), &addresses(number), sequence)
}

fn view(number: u8) -> FleetView {
    FleetView::new(&name(number), &addresses(number), &[])
}

const NOW: Moment = Moment::from_millis(60_000);

fn later(ms: u64) -> Moment {
    NOW.after(Duration::from_millis(ms))
}

// Guards against clients that are sent to a dead peer, and against limits that grow when a peer is
// only cut off: a silent peer is no longer named after a few heartbeats, but still counts as a
// sharer of the limits for a while.
#[test]
fn silent_peer_is_not_named_but_counts() {
    let mut view = view(1);
    assert!(view.receive_heartbeat(&beacon(2, 1), NOW));
    assert_eq!(view.entries(None, false, later(2_000)).len(), 2);
    assert_eq!(view.entries(None, false, later(3_000)), [addresses(1).client]);
    assert_eq!(view.instance_count(later(3_000)), 2);
    assert_eq!(view.instance_count(later(31_000)), 1);
}

// Guards against a peer whose work stays counted after it fell silent, or is dropped when it is
// heard again: its silence is reported once each time.
#[test]
fn silence_is_reported_once() {
    let mut view = view(1);
    view.receive_heartbeat(&beacon(2, 1), NOW);
    assert_eq!(view.check_silence(later(100)), (1, Vec::new()));
    assert_eq!(view.check_silence(later(3_000)), (0, vec![name(2)]));
    assert_eq!(view.check_silence(later(3_100)), (0, Vec::new()));
    view.receive_heartbeat(&beacon(2, 2), later(3_200));
    assert_eq!(view.check_silence(later(3_300)), (1, Vec::new()));
    assert_eq!(view.check_silence(later(6_500)), (0, vec![name(2)]));
}

// Guards against clients that are sent to a peer, or to this instance, after it announced that it
// leaves.
#[test]
fn leaving_peer_is_not_named() {
    let mut view = view(1);
    view.receive_heartbeat(&beacon(2, 1), NOW);
    view.receive_heartbeat(&FleetBeacon { leaving: true, ..beacon(2, 2) }, NOW);
    assert_eq!(view.entries(None, false, NOW), [addresses(1).client]);
    assert!(view.entries(None, true, NOW).is_empty());
}

// Guards against a reordered heartbeat that undoes a later one.
#[test]
fn late_heartbeat_changes_nothing() {
    let mut view = view(1);
    view.receive_heartbeat(&FleetBeacon { leaving: true, ..beacon(2, 5) }, NOW);
    assert!(!view.receive_heartbeat(&beacon(2, 4), NOW));
    assert_eq!(view.entries(None, false, NOW).len(), 1);
}

// Guards against a restarted peer that is ignored forever because its clock was set back and its
// incarnation is lower: it is accepted once the former incarnation is silent.
#[test]
fn lower_incarnation_is_accepted_after_silence() {
    let mut view = view(1);
    view.receive_heartbeat(&beacon(2, 50), NOW);
    let restarted = FleetBeacon { incarnation: 90, ..beacon(2, 1) };
    assert!(!view.receive_heartbeat(&restarted, later(500)));
    assert!(view.receive_heartbeat(&restarted, later(3_000)));
    assert!(view.is_live(&name(2), later(3_000)));
}

// Guards against instances that never learn of each other: each starts with one address, and
// heartbeats spread the others until each instance has all of them.
#[test]
fn addresses_spread() {
    let mut views: Vec<FleetView> = (1..=9).map(view).collect();
    views[0].receive_heartbeat(&beacon(2, 1), NOW);
    for (index, view) in views.iter_mut().enumerate().skip(1) {
        let before = u8::try_from(index).expect("few");
        view.receive_heartbeat(&beacon(before, 1), NOW);
    }
    for round in 2..12 {
        let sent: Vec<(Vec<SocketAddr>, FleetBeacon)> = views
            .iter_mut()
            .zip(1..)
            .map(|(view, number)| {
                let contacts = view.introduced_contacts(NOW);
                let introduction = Some(Introduction { sender: addresses(number), contacts });
                (view.targets(), FleetBeacon { introduction, ..beacon(number, round) })
            })
            .collect();
        for (targets, beacon) in sent {
            for (view, number) in views.iter_mut().zip(1..) {
                if targets.contains(&addresses(number).beacon) {
                    view.receive_heartbeat(&beacon, NOW);
                }
            }
        }
    }
    for view in &views {
        assert_eq!(view.live(NOW).count(), 8);
    }
}

// Guards against a fleet without readers: two instances read the store for all. When both fall
// silent, two others take over within three heartbeats, and an instance that can't reach the store
// is skipped.
#[test]
fn readers_are_replaced() {
    let hear_all = |silent: &[u8], reads: &dyn Fn(u8) -> bool| -> Vec<u8> {
        (1..=20)
            .filter(|own| !silent.contains(own))
            .filter(|own| {
                let mut view = view(*own);
                for peer in (1..=20).filter(|p| p != own) {
                    view.receive_heartbeat(
                        &FleetBeacon { reads: reads(peer), ..beacon(peer, 1) },
                        NOW,
                    );
                    if !silent.contains(&peer) {
                        let second = FleetBeacon { reads: reads(peer), ..beacon(peer, 2) };
                        view.receive_heartbeat(&second, later(900));
                    }
                }
                reads(*own) && view.is_reader(later(900))
            })
            .collect()
    };
    let first = hear_all(&[], &|_| true);
    assert_eq!(first.len(), 2);
    let second = hear_all(&first, &|_| true);
    assert_eq!(second.len(), 2);
    assert!(second.iter().all(|s| !first.contains(s)));
    let third = hear_all(&[], &|peer| !first.contains(&peer));
    assert_eq!(third, second);
}

// Guards against an instance without peers that waits for a reader.
#[test]
fn instance_without_peers_reads() {
    assert!(view(1).is_reader(NOW));
}

// Guards against naming a peer whose addresses are unknown: its heartbeats count only after its
// introduction, and need none later.
#[test]
fn introduction_comes_first() {
    let mut view = view(1);
    let without_introduction = |sequence| FleetBeacon { introduction: None, ..beacon(2, sequence) };
    assert!(!view.receive_heartbeat(&without_introduction(1), NOW));
    assert!(view.receive_heartbeat(&beacon(2, 2), NOW));
    assert!(view.receive_heartbeat(&without_introduction(3), later(200)));
    assert_eq!(view.entries(None, false, later(200)).len(), 2);
    let restarted = FleetBeacon { incarnation: 101, ..without_introduction(1) };
    assert!(!view.receive_heartbeat(&restarted, later(300)));
}

// Guards against clients that are given too few instances: a client in a failure domain with three
// instances gets those, and one in a domain with two gets all, since two may well fail together.
#[test]
fn clients_are_sent_to_their_own_domain_if_it_is_large_enough() {
    let mut view = view(1);
    let far = DomainId::new("gooi").expect("an id");
    for number in 2..=5 {
        let mut addresses = addresses(number);
        if number > 3 {
            addresses.domain = far.clone();
        }
        let introduction = Some(Introduction { sender: addresses, contacts: Contacts::new() });
        view.receive_heartbeat(&FleetBeacon { introduction, ..beacon(number, 1) }, NOW);
    }
    let near = DomainId::new("veluwe").expect("an id");
    assert_eq!(view.entries(Some(&near), false, NOW).len(), 3);
    assert_eq!(view.entries(Some(&far), false, NOW).len(), 5);
    assert_eq!(view.entries(Some(&near), true, NOW).len(), 4);
}

// Guards against too many or differing readers: two of many instances follow the endpoints, three
// the configuration, and six are on standby, the same from every instance's view. One that can't
// read the store is replaced.
#[test]
fn few_instances_read_for_all() {
    let view_of = |own: u8, without_store: Option<u8>| {
        let mut view = view(own);
        for other in (1..=20).filter(|other| *other != own) {
            let reads = Some(other) != without_store;
            view.receive_heartbeat(&FleetBeacon { reads, ..beacon(other, 1) }, NOW);
        }
        view
    };
    let readers: Vec<u8> = (1..=20).filter(|n| view_of(*n, None).is_reader(NOW)).collect();
    let config_readers: Vec<u8> =
        (1..=20).filter(|n| view_of(*n, None).is_config_reader(NOW)).collect();
    let standby: Vec<u8> = (1..=20).filter(|n| view_of(*n, None).is_standby(NOW)).collect();
    assert_eq!((readers.len(), config_readers.len(), standby.len()), (2, 3, 6));
    assert!(readers.iter().all(|r| config_readers.contains(r)));
    assert!(config_readers.iter().all(|r| standby.contains(r)));
    let failed = config_readers[0];
    let others = (1..=20).filter(|n| *n != failed);
    assert_eq!(others.filter(|n| view_of(*n, Some(failed)).is_config_reader(NOW)).count(), 3);
    assert!(view_of(1, None).has_live_reader(NOW));
    assert!(!view(1).has_live_reader(NOW));
}

const DOMAINS: [&str; 3] = ["veluwe", "gooi", "twente"];

fn domain_addresses(number: u8) -> InstanceAddresses {
    let domain = DomainId::new(DOMAINS[usize::from(number) % 3]).expect("an id");
    InstanceAddresses { domain, ..addresses(number) }
}

fn domain_beacon(number: u8, sequence: u64) -> FleetBeacon {
    let introduction =
        Some(Introduction { sender: domain_addresses(number), contacts: Contacts::new() });
    FleetBeacon { introduction, ..beacon(number, sequence) }
}

/// Returns the views of sixty instances in three failure domains that have received heartbeats of
/// each other.
fn large_fleet() -> Vec<FleetView> {
    let fill = |own: u8| {
        let mut view = FleetView::new(&name(own), &domain_addresses(own), &[]);
        for other in (1..=60).filter(|other| *other != own) {
            view.receive_heartbeat(&domain_beacon(other, 10), NOW);
        }
        view
    };
    (1..=60).map(fill).collect()
}

// Guards against heartbeats that load the links between failure domains: each of sixty instances
// contacts every other in turn, those in its own domain more often.
#[test]
fn heartbeats_of_a_large_fleet_mostly_stay_near() {
    let mut views = large_fleet();
    let view = &mut views[0];
    let mut counts: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    for _ in 0..10 {
        for target in view.targets() {
            *counts.entry(target).or_default() += 1;
        }
    }
    assert_eq!(counts.len(), 59);
    assert_eq!(counts.values().sum::<u32>(), 120);
    // The first instance is in the second domain, as are the fourth, the seventh and so on.
    let is_near = |number: u8| number % 3 == 1;
    let near = (2..=60).filter(|n| is_near(*n)).map(|n| counts[&addresses(n).beacon]).sum::<u32>();
    assert_eq!(near, 80);
    // An instance whose turn had not come does not count as gone.
    assert_eq!(view.live(later(3_500)).count(), 59);
    assert_eq!(view.live(later(5_000)).count(), 40);
    assert_eq!(view.live(later(15_000)).count(), 0);
}

// Guards against an instance that joins a large fleet slowly: the one peer in contact with it sends
// it all contacts at once. An instance that has many already gets none.
#[test]
fn new_instance_gets_the_contacts_of_others() {
    let mut views = large_fleet();
    let (newcomer, contacts) = views[0].contacts_for_newcomer(&beacon(77, 1)).expect("a newcomer");
    let count = contacts.values().map(Vec::len).sum::<usize>();
    assert_eq!((newcomer, count), (addresses(77).beacon, 59));
    let mut fresh = view(77);
    fresh.add_contacts(&contacts, NOW);
    assert_eq!(fresh.targets().len(), 12);
    let addresses_of_domain = (1..=8).map(|n| addresses(n).beacon).collect();
    let contacts = Contacts::from([(addresses(1).domain, addresses_of_domain)]);
    let introduction = Some(Introduction { sender: addresses(78), contacts });
    assert_eq!(
        views[0].contacts_for_newcomer(&FleetBeacon { introduction, ..beacon(78, 1) }),
        None
    );
    assert_eq!(view(1).contacts_for_newcomer(&beacon(77, 1)), None);
}

// Guards against broadcasts that are lost or duplicated, or that cross a link between failure
// domains more than once.
#[test]
fn broadcast_reaches_each_instance_once() {
    let mut views = large_fleet();
    let by_address: BTreeMap<SocketAddr, usize> =
        (0..60_u8).map(|n| (addresses(n + 1).beacon, usize::from(n))).collect();
    let audience = views[0].broadcast_recipients(RelayOrder::LastHeard, NOW);
    assert_eq!((audience.direct.len(), audience.relays.len()), (19, 2));
    let mut recipients = audience.direct;
    for (relay, share) in audience.relays {
        recipients.push(relay);
        recipients.extend(views[by_address[&relay]].neighbours_in_part(share));
    }
    recipients.sort();
    let all: Vec<SocketAddr> = (2..=60).map(|n| addresses(n).beacon).collect();
    assert_eq!(recipients, all);
    // The instance with the latest heartbeat relays the message, unless it has only just started.
    views[0].receive_heartbeat(&domain_beacon(6, 11), later(50));
    let whole = DomainPart { part: 0, of: 1 };
    assert!(
        views[0]
            .broadcast_recipients(RelayOrder::LastHeard, later(50))
            .relays
            .contains(&(addresses(6).beacon, whole))
    );
    views[0].receive_heartbeat(&FleetBeacon { incarnation: 101, ..domain_beacon(9, 1) }, later(90));
    assert!(
        views[0]
            .broadcast_recipients(RelayOrder::LastHeard, later(90))
            .relays
            .contains(&(addresses(6).beacon, whole))
    );
}

// Guards against instances that miss a store outage because they read the store rarely: they
// detect it by a peer's next heartbeat, and clear it when that peer reaches the store again or
// sends no more heartbeats.
#[test]
fn store_outage_is_learned_from_a_peer() {
    let mut view = view(1);
    view.receive_heartbeat(&beacon(2, 1), NOW);
    assert!(!view.has_peer_without_store(NOW));
    view.receive_heartbeat(&FleetBeacon { reads: false, ..beacon(2, 2) }, NOW);
    assert!(view.has_peer_without_store(later(100)));
    assert!(!view.has_peer_without_store(later(1_000)));
    view.receive_heartbeat(&FleetBeacon { reads: false, ..beacon(2, 3) }, later(1_000));
    view.receive_heartbeat(&beacon(2, 4), later(1_100));
    assert!(!view.has_peer_without_store(later(1_100)));
}
