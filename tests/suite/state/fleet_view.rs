//! Instances that hear each other, fall silent and come back.

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

fn seat(number: u8) -> InstanceAddresses {
    let at = |port| SocketAddr::from(([10, 0, 0, number], port));
    let domain = DomainId::new("veluwe").expect("an id");
    InstanceAddresses { domain, client: at(80), beacon: at(90), control: at(70) }
}

fn beacon(number: u8, sequence: u64) -> FleetBeacon {
    heartbeat(&name(number), &seat(number), sequence)
}

fn view(number: u8) -> FleetView {
    FleetView::new(&name(number), &seat(number), &[])
}

const NOW: Moment = Moment::from_millis(60_000);

fn later(ms: u64) -> Moment {
    NOW.after(Duration::from_millis(ms))
}

// A peer dies without a word. After some heartbeats clients hear of it no more, while limits are
// still divided by it: it may only be cut off.
#[test]
fn silent_peer_is_not_named_but_counts() {
    let mut view = view(1);
    assert!(view.hear(&beacon(2, 1), NOW));
    assert_eq!(view.entries(None, false, later(2_000)).len(), 2);
    assert_eq!(view.entries(None, false, later(3_000)), [seat(1).client]);
    assert_eq!(view.sharers(later(3_000)), 2);
    assert_eq!(view.sharers(later(31_000)), 1);
}

// A peer says that it leaves. It is named to nobody from then on, and neither is this instance when
// it leaves itself.
#[test]
fn leaving_peer_is_not_named() {
    let mut view = view(1);
    view.hear(&beacon(2, 1), NOW);
    view.hear(&FleetBeacon { leaving: true, ..beacon(2, 2) }, NOW);
    assert_eq!(view.entries(None, false, NOW), [seat(1).client]);
    assert!(view.entries(None, true, NOW).is_empty());
}

// Heartbeats overtake each other; a later one is not undone by an earlier one.
#[test]
fn late_heartbeat_changes_nothing() {
    let mut view = view(1);
    view.hear(&FleetBeacon { leaving: true, ..beacon(2, 5) }, NOW);
    assert!(!view.hear(&beacon(2, 4), NOW));
    assert_eq!(view.entries(None, false, NOW).len(), 1);
}

// A peer's clock was set back before its next life, whose number is then lower than before. It is
// heard once its former life is silent.
#[test]
fn life_with_a_lower_number_is_heard_after_silence() {
    let mut view = view(1);
    view.hear(&beacon(2, 50), NOW);
    let reborn = FleetBeacon { incarnation: 90, ..beacon(2, 1) };
    assert!(!view.hear(&reborn, later(500)));
    assert!(view.hear(&reborn, later(3_000)));
    assert!(view.is_live(&name(2), later(3_000)));
}

// Each instance knows one other. Heartbeats hand addresses on until everybody knows everybody.
#[test]
fn addresses_spread() {
    let mut views: Vec<FleetView> = (1..=9).map(view).collect();
    views[0].hear(&beacon(2, 1), NOW);
    for (index, view) in views.iter_mut().enumerate().skip(1) {
        let before = u8::try_from(index).expect("few");
        view.hear(&beacon(before, 1), NOW);
    }
    for round in 2..12 {
        let sent: Vec<(Vec<SocketAddr>, FleetBeacon)> = views
            .iter_mut()
            .zip(1..)
            .map(|(view, number)| {
                let others = view.others(NOW);
                let introduction = Some(Introduction { sender: seat(number), others });
                (view.targets(), FleetBeacon { introduction, ..beacon(number, round) })
            })
            .collect();
        for (targets, beacon) in sent {
            for (view, number) in views.iter_mut().zip(1..) {
                if targets.contains(&seat(number).beacon) {
                    view.hear(&beacon, NOW);
                }
            }
        }
    }
    for view in &views {
        assert_eq!(view.live(NOW).count(), 8);
    }
}

// Two of many instances read the store for all. When both fall silent, two others take over within three
// heartbeats; one that the store does not answer is passed over.
#[test]
fn readers_are_replaced() {
    let hear_all = |silent: &[u8], reads: &dyn Fn(u8) -> bool| -> Vec<u8> {
        (1..=20)
            .filter(|own| !silent.contains(own))
            .filter(|own| {
                let mut view = view(*own);
                for peer in (1..=20).filter(|p| p != own) {
                    view.hear(&FleetBeacon { reads: reads(peer), ..beacon(peer, 1) }, NOW);
                    if !silent.contains(&peer) {
                        let second = FleetBeacon { reads: reads(peer), ..beacon(peer, 2) };
                        view.hear(&second, later(900));
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

// An instance that hears nobody must read for itself.
#[test]
fn lonely_instance_reads() {
    assert!(view(1).is_reader(NOW));
}

// A peer is heard that was never introduced. It is not named before its introduction came, and its
// later heartbeats need none.
#[test]
fn introduction_comes_first() {
    let mut view = view(1);
    let bare = |sequence| FleetBeacon { introduction: None, ..beacon(2, sequence) };
    assert!(!view.hear(&bare(1), NOW));
    assert!(view.hear(&beacon(2, 2), NOW));
    assert!(view.hear(&bare(3), later(200)));
    assert_eq!(view.entries(None, false, later(200)).len(), 2);
    let reborn = FleetBeacon { incarnation: 101, ..bare(1) };
    assert!(!view.hear(&reborn, later(300)));
}

// A client asks from a failure domain with three instances, and from one with two. The first is told
// of those near by, the second of all: two may well fail together.
#[test]
fn clients_are_sent_near_by_where_there_are_enough() {
    let mut view = view(1);
    let far = DomainId::new("gooi").expect("an id");
    for number in 2..=5 {
        let mut seat = seat(number);
        if number > 3 {
            seat.domain = far.clone();
        }
        let introduction = Some(Introduction { sender: seat, others: Contacts::new() });
        view.hear(&FleetBeacon { introduction, ..beacon(number, 1) }, NOW);
    }
    let near = DomainId::new("veluwe").expect("an id");
    assert_eq!(view.entries(Some(&near), false, NOW).len(), 3);
    assert_eq!(view.entries(Some(&far), false, NOW).len(), 5);
    assert_eq!(view.entries(Some(&near), true, NOW).len(), 4);
}

// Many instances hear each other. Two of them follow the endpoints and three the configuration, and six are
// heard by all, the same for whoever asks; when one can't read the store any more, another one takes its
// place.
#[test]
fn few_read_for_all() {
    let hears = |own: u8, turned_away: Option<u8>| {
        let mut view = view(own);
        for other in (1..=20).filter(|other| *other != own) {
            let reads = Some(other) != turned_away;
            view.hear(&FleetBeacon { reads, ..beacon(other, 1) }, NOW);
        }
        view
    };
    let readers: Vec<u8> = (1..=20).filter(|n| hears(*n, None).is_reader(NOW)).collect();
    let of_config: Vec<u8> = (1..=20).filter(|n| hears(*n, None).is_config_reader(NOW)).collect();
    let standby: Vec<u8> = (1..=20).filter(|n| hears(*n, None).is_standby(NOW)).collect();
    assert_eq!((readers.len(), of_config.len(), standby.len()), (2, 3, 6));
    assert!(readers.iter().all(|r| of_config.contains(r)));
    assert!(of_config.iter().all(|r| standby.contains(r)));
    let away = of_config[0];
    let others = (1..=20).filter(|n| *n != away);
    assert_eq!(others.filter(|n| hears(*n, Some(away)).is_config_reader(NOW)).count(), 3);
    assert!(hears(1, None).has_live_reader(NOW));
    assert!(!view(1).has_live_reader(NOW));
}

const DOMAINS: [&str; 3] = ["veluwe", "gooi", "twente"];

fn seat_of(number: u8) -> InstanceAddresses {
    let domain = DomainId::new(DOMAINS[usize::from(number) % 3]).expect("an id");
    InstanceAddresses { domain, ..seat(number) }
}

fn beacon_of(number: u8, sequence: u64) -> FleetBeacon {
    let introduction = Some(Introduction { sender: seat_of(number), others: Contacts::new() });
    FleetBeacon { introduction, ..beacon(number, sequence) }
}

/// Returns the views of sixty instances in three failure domains, each of which has heard all others.
fn large_fleet() -> Vec<FleetView> {
    let fill = |own: u8| {
        let mut view = FleetView::new(&name(own), &seat_of(own), &[]);
        for other in (1..=60).filter(|other| *other != own) {
            view.hear(&beacon_of(other, 10), NOW);
        }
        view
    };
    (1..=60).map(fill).collect()
}

// Sixty instances run in three failure domains. Each hears each other in turn, those near by more
// often, and few heartbeats cross the lines between failure domains.
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
    let near = (2..=60).filter(|n| is_near(*n)).map(|n| counts[&seat(n).beacon]).sum::<u32>();
    assert_eq!(near, 80);
    // Nobody counts as gone for whom it was not yet the turn.
    assert_eq!(view.live(later(3_500)).count(), 59);
    assert_eq!(view.live(later(5_000)).count(), 40);
    assert_eq!(view.live(later(15_000)).count(), 0);
}

// An instance of a large fleet starts and knows one other. That one tells it at once whom it knows; one
// that knows many already is told nothing.
#[test]
fn newcomer_is_told_whom_others_know() {
    let mut views = large_fleet();
    let (newcomer, others) = views[0].welcome(&beacon(77, 1)).expect("a newcomer");
    let count = others.values().map(Vec::len).sum::<usize>();
    assert_eq!((newcomer, count), (seat(77).beacon, 59));
    let mut fresh = view(77);
    fresh.add_contacts(&others, NOW);
    assert_eq!(fresh.targets().len(), 12);
    let others = (1..=8).map(|n| seat(n).beacon).collect();
    let others = Contacts::from([(seat(1).domain, others)]);
    let introduction = Some(Introduction { sender: seat(78), others });
    assert_eq!(views[0].welcome(&FleetBeacon { introduction, ..beacon(78, 1) }), None);
    assert_eq!(view(1).welcome(&beacon(77, 1)), None);
}

// A message is for everybody. It crosses each line between failure domains once, and still everybody
// gets it once.
#[test]
fn message_for_everybody_is_handed_on() {
    let mut views = large_fleet();
    let by_address: BTreeMap<SocketAddr, usize> =
        (0..60_u8).map(|n| (seat(n + 1).beacon, usize::from(n))).collect();
    let audience = views[0].broadcast_recipients(RelayOrder::LastHeard, NOW);
    assert_eq!((audience.direct.len(), audience.relays.len()), (19, 2));
    let mut got = audience.direct;
    for (relay, share) in audience.relays {
        got.push(relay);
        got.extend(views[by_address[&relay]].neighbours_in_part(share));
    }
    got.sort();
    let all: Vec<SocketAddr> = (2..=60).map(|n| seat(n).beacon).collect();
    assert_eq!(got, all);
    // The one that was heard last hands it on, unless it has only just started.
    views[0].hear(&beacon_of(6, 11), later(50));
    let whole = DomainPart { part: 0, of: 1 };
    assert!(
        views[0]
            .broadcast_recipients(RelayOrder::LastHeard, later(50))
            .relays
            .contains(&(seat(6).beacon, whole))
    );
    views[0].hear(&FleetBeacon { incarnation: 101, ..beacon_of(9, 1) }, later(90));
    assert!(
        views[0]
            .broadcast_recipients(RelayOrder::LastHeard, later(90))
            .relays
            .contains(&(seat(6).beacon, whole))
    );
}

// One instance finds that the store is away. The others, who ask the store seldom, know it by its next
// heartbeat, and forget it when the store answers that one again or it falls silent.
#[test]
fn store_is_away_for_all_when_it_is_for_one() {
    let mut view = view(1);
    view.hear(&beacon(2, 1), NOW);
    assert!(!view.has_peer_without_store(NOW));
    view.hear(&FleetBeacon { reads: false, ..beacon(2, 2) }, NOW);
    assert!(view.has_peer_without_store(later(100)));
    assert!(!view.has_peer_without_store(later(1_000)));
    view.hear(&FleetBeacon { reads: false, ..beacon(2, 3) }, later(1_000));
    view.hear(&beacon(2, 4), later(1_100));
    assert!(!view.has_peer_without_store(later(1_100)));
}
