//! Membership: which heartbeats count, and their size.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::peer::{Beacon, Echo, InstanceEntry, seal};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::membership::Membership;
use rstest::rstest;

const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
const NOW: Moment = Moment::from_millis(10_000);
const PEERS: u64 = 6;
const KEY: [u8; 32] = [1; 32];

fn entry(name: &str, incarnation: u64) -> InstanceEntry {
    let address = "10.0.0.1:40000".parse().expect("address");
    InstanceEntry {
        instance: InstanceId::new(name).expect("id"),
        incarnation,
        domain: DomainId::new("utrechtse-heuvelrug").expect("id"),
        caller_address: address,
        peer_address: address,
        admin_address: address,
    }
}

fn beacon(entry: &InstanceEntry, sequence: u64) -> Beacon {
    Beacon {
        instance: entry.instance.clone(),
        incarnation: entry.incarnation,
        entry: Beacon::includes_introduction(sequence).then(|| entry.clone()),
        sequence,
        config: 1,
        leaving: false,
        in_flight: BTreeMap::new(),
        resumed: BTreeSet::new(),
        suspects: Vec::new(),
        platform: Some(Duration::from_millis(400)),
        echoes: BTreeMap::new(),
    }
}

#[rstest]
fn known_peer_is_accepted_without_addresses() {
    let mut members = Membership::new(&entry("node-0", 1), SILENCE_TIMEOUT);
    members.add_instance(&entry("node-1", 1));
    assert!(members.receive_heartbeat(&beacon(&entry("node-1", 1), 2), NOW));
    assert_eq!(members.live(NOW).len(), 1);
}

// Guards against callers that are sent to the ports of an instance's earlier incarnation. It
// restarted on the same peer address while the platform is down, and its first heartbeats carry no
// addresses; they count from the first one that does.
#[rstest]
fn new_incarnation_counts_once_its_addresses_arrived() {
    let mut members = Membership::new(&entry("node-0", 1), SILENCE_TIMEOUT);
    members.add_instance(&entry("node-1", 1));
    let restarted = entry("node-1", 2);
    assert!(!members.receive_heartbeat(&beacon(&restarted, 2), NOW));
    assert!(members.live(NOW).is_empty());
    let introduced = (3..=11)
        .find(|n| Beacon::includes_introduction(*n))
        .expect("an introduction in every eighth heartbeat");
    assert!(members.receive_heartbeat(&beacon(&restarted, introduced), NOW));
    assert_eq!(members.live(NOW), [&restarted]);
}

#[rstest]
fn heartbeat_among_seven_stays_small() {
    let mut typical = beacon(&entry("node-0", 1_796_255_567_169_621), 100_002);
    for n in 1..=PEERS {
        let echo = Echo { incarnation: 1_796_255_567_169_621 + n, sequence: 100_000 };
        typical.echoes.insert(InstanceId::new(&format!("node-{n}")).expect("id"), echo);
    }
    let bytes = seal(&typical, &KEY).expect("seal").len();
    assert!(bytes <= 300, "{bytes} bytes");
}
