//! Heartbeats: which count, and what they cost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use nutmeggrade_core::peer::{Beacon, Echo, Entry, seal};
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::membership::Membership;
use rstest::rstest;

const SILENCE: Duration = Duration::from_secs(2);
const NOW: Moment = Moment::from_millis(10_000);
const PEERS: u64 = 6;
const KEY: [u8; 32] = [1; 32];

fn entry(name: &str, incarnation: u64) -> Entry {
    let address = "10.0.0.1:40000".parse().expect("address");
    Entry {
        instance: InstanceId::new(name).expect("id"),
        incarnation,
        domain: DomainId::new("utrechtse-heuvelrug").expect("id"),
        caller_address: address,
        peer_address: address,
        admin_address: address,
    }
}

fn beacon(entry: &Entry, sequence: u64) -> Beacon {
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
fn known_peer_is_heard_without_its_addresses() {
    let mut members = Membership::new(&entry("node-0", 1), SILENCE);
    members.learn(&entry("node-1", 1));
    assert!(members.hear(&beacon(&entry("node-1", 1), 2), NOW));
    assert_eq!(members.live(NOW).len(), 1);
}

// An instance restarts on its old address while the platform is down. Its heartbeats come without
// addresses at first; were they counted for its earlier life, callers would be sent to whatever that
// one listened on. They count from the first that carries the new addresses.
#[rstest]
fn new_life_counts_once_its_addresses_came() {
    let mut members = Membership::new(&entry("node-0", 1), SILENCE);
    members.learn(&entry("node-1", 1));
    let reborn = entry("node-1", 2);
    assert!(!members.hear(&beacon(&reborn, 2), NOW));
    assert!(members.live(NOW).is_empty());
    let introduced = (3..=11).find(|n| Beacon::includes_introduction(*n)).expect("one in eight");
    assert!(members.hear(&beacon(&reborn, introduced), NOW));
    assert_eq!(members.live(NOW), [&reborn]);
}

#[rstest]
fn heartbeat_among_seven_stays_small() {
    let mut usual = beacon(&entry("node-0", 1_796_255_567_169_621), 100_002);
    for n in 1..=PEERS {
        let echo = Echo { incarnation: 1_796_255_567_169_621 + n, sequence: 100_000 };
        usual.echoes.insert(InstanceId::new(&format!("node-{n}")).expect("id"), echo);
    }
    let bytes = seal(&usual, &KEY).expect("seal").len();
    assert!(bytes <= 300, "{bytes} bytes");
}
