//! The table of placed work that instances share with each other.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::PlacedLoad;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::LoadTable;

fn placed() -> PlacedLoad {
    PlacedLoad { requests: 1, memory: 3_000, reading: 2_000, moving: 0 }
}

// Guards against two generations that are copied concurrently, because the start of a copy is
// announced as late as other changes.
#[test]
fn copies_are_urgent_and_other_changes_are_not() {
    let engine = EndpointId::new("e-1").expect("an id");
    let mut table = LoadTable::new();
    table.place(Ticket(1), &engine, placed());
    assert!(!table.take_changes().is_urgent);
    table.record_prompt_read(Ticket(1));
    assert!(!table.take_changes().is_urgent);
    for tokens in [3_000, 0] {
        table.set_moving(Ticket(1), tokens);
        let changes = table.take_changes();
        assert!(changes.is_urgent);
        assert_eq!(changes.placed[&engine].moving, tokens);
    }
    table.end(Ticket(1));
    assert!(!table.take_changes().is_urgent);
}

// Guards against stale work of a peer that keeps counting after its heartbeat.
#[test]
fn heartbeat_replaces_what_a_peer_had() {
    let ids = ["e-1", "e-2"].map(|id| EndpointId::new(id).expect("an id"));
    let peer = InstanceId::new("i-2").expect("an id");
    let other = InstanceId::new("i-3").expect("an id");
    let mut table = LoadTable::new();
    table.set_peer(&peer, &[(ids[0].clone(), placed())].into());
    table.set_peer(&other, &[(ids[0].clone(), placed())].into());
    table.change_peer(&peer, &[(ids[1].clone(), placed())].into());
    assert_eq!((table.load(&ids[0]).requests, table.load(&ids[1]).requests), (2, 1));
    table.set_peer(&peer, &[(ids[1].clone(), placed())].into());
    assert_eq!((table.load(&ids[0]).requests, table.load(&ids[1]).requests), (1, 1));
    table.retain_peers(|instance| *instance == other);
    assert_eq!((table.load(&ids[0]).requests, table.load(&ids[1]).requests), (1, 0));
}

// Guards against work of a dead peer that keeps its engines looking full.
#[test]
fn work_of_a_silent_peer_is_dropped() {
    let engine = EndpointId::new("e-1").expect("an id");
    let [peer, other] = ["i-2", "i-3"].map(|id| InstanceId::new(id).expect("an id"));
    let mut table = LoadTable::new();
    table.set_peer(&peer, &[(engine.clone(), placed())].into());
    table.set_peer(&other, &[(engine.clone(), placed())].into());
    table.remove_peer(&peer);
    table.remove_peer(&peer);
    assert_eq!(table.load(&engine), placed());
}
