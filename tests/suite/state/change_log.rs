//! Recent changes of endpoints for peers that missed some of them.

use nutmeggrade_core::peer::{
    EndpointChange, EndpointChanges, EndpointGroups, EndpointUpdateBatch, EndpointsReply,
};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_state::change_log::ChangeLog;
use nutmeggrade_state::registry::{Change, Registry};

const NOW: Moment = Moment::from_millis(60_000);
const MAX_CHANGES: usize = 1_000;

fn id(number: u64) -> EndpointId {
    EndpointId::new(&format!("i-{number:08x}")).expect("an id")
}

fn info(number: u64, born: u64) -> EndpointInfo {
    let [.., high, low] = number.to_be_bytes();
    EndpointInfo {
        id: id(number),
        service: ServiceId::new("permit-writers").expect("an id"),
        address: ([10, 128, high, low], 8_080).into(),
        domain: DomainId::new("some-domain").expect("an id"),
        slots: 24,
        leaving: false,
        cold_left: std::time::Duration::ZERO,
        version: VersionId::new("v1").ok(),
        born,
    }
}

fn batch(since: u64, revision: u64, changes: Vec<EndpointChange>) -> EndpointUpdateBatch {
    let changes = EndpointChanges::new(changes);
    EndpointUpdateBatch { since, revision, lapses: false, changes }
}

fn apply(registry: &mut Registry, changes: &EndpointChanges) -> Vec<Change> {
    let change = |change| match change {
        EndpointChange::Entry(info) => registry.put(&info, NOW),
        EndpointChange::Leaving(id, born) => registry.leave_incarnation(&id, born, NOW),
        EndpointChange::Gone(id) => registry.remove(&id, NOW),
    };
    changes.iter().filter_map(change).collect()
}

// Guards against a peer that fetches all endpoints because it missed one batch of changes.
#[test]
fn missed_changes_are_returned_alone() {
    let mut log = ChangeLog::new();
    for n in 1..=20 {
        let changes =
            vec![EndpointChange::Entry(info(n, 1)), EndpointChange::Leaving(id(n - 1), 1)];
        log.push(batch(n * 10, n * 10 + 10, changes), MAX_CHANGES);
    }
    let missed = log.since(185).expect("known changes");
    assert_eq!((missed.since, missed.revision, missed.changes.len()), (180, 210, 6));
    assert!(log.since(9).is_none());
    assert!(log.since(210).is_none());
}

// Guards against changes that are returned as complete although some in between were not read.
#[test]
fn changes_before_a_gap_are_dropped() {
    let mut log = ChangeLog::new();
    log.push(batch(10, 20, vec![EndpointChange::Gone(id(1))]), MAX_CHANGES);
    log.push(batch(30, 40, vec![EndpointChange::Gone(id(2))]), MAX_CHANGES);
    assert!(log.since(15).is_none());
    assert_eq!(log.since(30).map(|b| b.changes.len()), Some(1));
    log.clear();
    assert!(log.since(30).is_none());
}

// Guards against a log that grows without bound while endpoints come and go.
#[test]
fn old_changes_are_dropped() {
    let mut log = ChangeLog::new();
    for n in 1..=500 {
        log.push(batch(n, n + 1, vec![EndpointChange::Gone(id(n))]), 100);
    }
    assert!(log.since(350).is_none());
    assert_eq!(log.since(450).map(|b| b.changes.len()), Some(51));
}

// Guards against an endpoint that is used again because its entry lapsed after it announced its
// shutdown, and only the last of its changes was passed on.
#[test]
fn announced_shutdown_outlasts_later_changes() {
    let (leaving, gone) = (EndpointChange::Leaving(id(1), 5), EndpointChange::Gone(id(1)));
    let back = EndpointChange::Entry(info(1, 5));
    for changes in [vec![leaving.clone(), gone.clone()], vec![leaving.clone(), gone, back]] {
        let mut registry = Registry::new();
        registry.put(&info(1, 5), NOW);
        apply(&mut registry, &EndpointChanges::new(changes));
        assert!(!registry.may_send(&id(1)));
    }
    let mut registry = Registry::new();
    registry.put(&info(1, 5), NOW);
    let restarted = EndpointChange::Entry(info(1, 6));
    apply(&mut registry, &EndpointChanges::new([leaving, restarted]));
    assert!(registry.may_send(&id(1)));
}

// Guards against an older incarnation of an endpoint that stays in use when the newer one, never
// heard of here, shuts down.
#[test]
fn shutdown_of_a_newer_incarnation_removes_the_older_one() {
    let mut registry = Registry::new();
    registry.put(&info(1, 5), NOW);
    apply(&mut registry, &EndpointChanges::new([EndpointChange::Leaving(id(1), 4)]));
    assert!(registry.may_send(&id(1)));
    apply(&mut registry, &EndpointChanges::new([EndpointChange::Leaving(id(1), 6)]));
    assert!(registry.get(&id(1)).is_none());
}

// Guards against lists that fill small links: the endpoints of a large fleet fit into a few hundred
// kilobytes, and the shutdown of hundreds of them into one datagram.
#[test]
fn endpoints_are_sent_in_a_compact_form() {
    let all: Vec<EndpointInfo> = (0..10_000).map(|n| info(n, 1_796_000_000_000 + n)).collect();
    let endpoints = EndpointGroups::new(all.clone());
    let reply = EndpointsReply::All { revision: 7, lapses: false, endpoints };
    let encoded = reply.encode().expect("encoded");
    assert!(encoded.len() <= 450_000, "{}", encoded.len());
    let Ok(EndpointsReply::All { endpoints, .. }) = EndpointsReply::decode(&encoded) else {
        panic!("no list");
    };
    assert_eq!(endpoints.endpoints().collect::<Vec<_>>(), all);
    let leaving = (0..200).map(|n| EndpointChange::Leaving(id(n), 1_796_000_000_000 + n));
    let changes = EndpointChanges::new(leaving);
    let reply = EndpointsReply::Changes(EndpointUpdateBatch {
        since: 1,
        revision: 2,
        lapses: false,
        changes: changes.clone(),
    });
    let encoded = reply.encode().expect("encoded").len();
    assert!(encoded <= changes.max_bytes() + 100, "{encoded}, at most {}", changes.max_bytes());
    assert!(changes.max_bytes() <= 6 << 10, "{}", changes.max_bytes());
}
