//! Parts of the instances that clients are offered.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

use nutmeggrade_policy::fleet::client_part;

const LIMIT: usize = 64;
const INSTANCES: u16 = 217;

fn instances() -> Vec<SocketAddr> {
    let address = |n: u16| SocketAddr::from(([10, 1, n.to_be_bytes()[0], n.to_be_bytes()[1]], 80));
    (0..INSTANCES).map(address).collect()
}

fn client(number: u8) -> IpAddr {
    IpAddr::from([10, 250, 0, number])
}

// Guards against instances that serve nobody: each client got the first 64 of a failure domain.
#[test]
fn clients_reach_every_instance() {
    let mut offers: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..200 {
        let part = client_part(instances(), Some(client(number)), LIMIT);
        assert_eq!(part.iter().collect::<BTreeSet<_>>().len(), LIMIT);
        for instance in part {
            *offers.entry(instance).or_default() += 1;
        }
    }
    assert_eq!(offers.len(), usize::from(INSTANCES));
    let mean = 200 * LIMIT / usize::from(INSTANCES);
    assert!(offers.values().all(|n| *n > mean / 2 && *n < mean * 2), "{offers:?}");
}

// Guards against clients that close their connections each time they ask: their part changes only
// by the instance that left.
#[test]
fn a_clients_part_changes_only_with_the_instances() {
    let before = client_part(instances(), Some(client(1)), LIMIT);
    let mut fewer = instances();
    fewer.retain(|instance| *instance != before[0]);
    let after = client_part(fewer, Some(client(1)), LIMIT);
    let kept = before.iter().filter(|instance| after.contains(instance)).count();
    assert_eq!(kept, LIMIT - 1);
}

// Guards against a small fleet whose instances are offered in another order than they are known.
#[test]
fn few_instances_are_offered_to_all() {
    let few = instances()[..LIMIT].to_vec();
    assert_eq!(client_part(few.clone(), Some(client(1)), LIMIT), few);
}
