//! Instances that hear each other, fall silent and come back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::peer::{FleetBeacon, Revisions, Seat};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::fleet_view::FleetView;

fn name(number: u8) -> InstanceId {
    InstanceId::new(&format!("i-{number}")).expect("an id")
}

fn seat(number: u8) -> Seat {
    let at = |port| SocketAddr::from(([10, 0, 0, number], port));
    let domain = DomainId::new("veluwe").expect("an id");
    Seat { domain, client: at(80), beacon: at(90), control: at(70) }
}

fn beacon(number: u8, sequence: u64) -> FleetBeacon {
    FleetBeacon {
        instance: name(number),
        incarnation: 100,
        sequence,
        seat: seat(number),
        leaving: false,
        reads: true,
        revisions: Revisions::default(),
        placed: BTreeMap::new(),
        others: Vec::new(),
    }
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
    assert_eq!(view.entries(false, later(1_000)).len(), 2);
    assert_eq!(view.entries(false, later(2_000)), [seat(1).client]);
    assert_eq!(view.sharers(later(2_000)), 2);
    assert_eq!(view.sharers(later(31_000)), 1);
}

// A peer says that it leaves. It is named to nobody from then on, and neither is this instance when
// it leaves itself.
#[test]
fn leaving_peer_is_not_named() {
    let mut view = view(1);
    view.hear(&beacon(2, 1), NOW);
    view.hear(&FleetBeacon { leaving: true, ..beacon(2, 2) }, NOW);
    assert_eq!(view.entries(false, NOW), [seat(1).client]);
    assert!(view.entries(true, NOW).is_empty());
}

// Heartbeats overtake each other; a later one is not undone by an earlier one.
#[test]
fn late_heartbeat_changes_nothing() {
    let mut view = view(1);
    view.hear(&FleetBeacon { leaving: true, ..beacon(2, 5) }, NOW);
    assert!(!view.hear(&beacon(2, 4), NOW));
    assert_eq!(view.entries(false, NOW).len(), 1);
}

// A peer's clock was set back before its next life, whose number is then lower than before. It is
// heard once its former life is silent.
#[test]
fn life_with_a_lower_number_is_heard_after_silence() {
    let mut view = view(1);
    view.hear(&beacon(2, 50), NOW);
    let reborn = FleetBeacon { incarnation: 90, ..beacon(2, 1) };
    assert!(!view.hear(&reborn, later(500)));
    assert!(view.hear(&reborn, later(2_000)));
    assert!(view.is_live(&name(2), later(2_000)));
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
                (view.targets(16), FleetBeacon { others, ..beacon(number, round) })
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

// Three of many instances read the store for all. When all three fall silent, three others take over
// within three heartbeats; one that the store does not answer is passed over.
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
    assert_eq!(first.len(), 3);
    let second = hear_all(&first, &|_| true);
    assert_eq!(second.len(), 3);
    assert!(second.iter().all(|s| !first.contains(s)));
    let third = hear_all(&[], &|peer| !first.contains(&peer));
    assert_eq!(third, second);
}

// An instance that hears nobody must read for itself.
#[test]
fn lonely_instance_reads() {
    assert!(view(1).is_reader(NOW));
}
