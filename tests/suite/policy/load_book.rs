//! What instances tell each other of placed work.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::Placed;
use nutmeggrade_policy::Ticket;
use nutmeggrade_policy::dispatch::LoadTable;

fn placed() -> Placed {
    Placed { requests: 1, memory: 3_000, reading: 2_000, moving: 0 }
}

// The begin of a copy is told as late as other changes, and two generations are copied at a time.
#[test]
fn copies_are_urgent_and_other_changes_are_not() {
    let engine = EndpointId::new("e-1").expect("an id");
    let mut book = LoadTable::new();
    book.place(Ticket(1), &engine, placed());
    assert!(!book.take_changes().is_urgent);
    book.record_prompt_read(Ticket(1));
    assert!(!book.take_changes().is_urgent);
    for tokens in [3_000, 0] {
        book.set_moving(Ticket(1), tokens);
        let changes = book.take_changes();
        assert!(changes.is_urgent);
        assert_eq!(changes.placed[&engine].moving, tokens);
    }
    book.end(Ticket(1));
    assert!(!book.take_changes().is_urgent);
}

// What a peer had placed before its heartbeat goes on counting.
#[test]
fn heartbeat_replaces_what_a_peer_had() {
    let ids = ["e-1", "e-2"].map(|id| EndpointId::new(id).expect("an id"));
    let peer = InstanceId::new("i-2").expect("an id");
    let other = InstanceId::new("i-3").expect("an id");
    let mut book = LoadTable::new();
    book.set_peer(&peer, &[(ids[0].clone(), placed())].into());
    book.set_peer(&other, &[(ids[0].clone(), placed())].into());
    book.change_peer(&peer, &[(ids[1].clone(), placed())].into());
    assert_eq!((book.at(&ids[0]).requests, book.at(&ids[1]).requests), (2, 1));
    book.set_peer(&peer, &[(ids[1].clone(), placed())].into());
    assert_eq!((book.at(&ids[0]).requests, book.at(&ids[1]).requests), (1, 1));
    book.retain_peers(|instance| *instance == other);
    assert_eq!((book.at(&ids[0]).requests, book.at(&ids[1]).requests), (1, 0));
}
