//! Part of the instances that a client is offered.

use std::net::{IpAddr, SocketAddr};

/// Selects up to `limit` instances for a client, by rendezvous hashing.
///
/// A directory response holds a limited number of addresses. With the first ones for every client,
/// 64 instances of a failure domain with 217 served all its clients, and the others none. Here each
/// client is offered a part of its own, whichever instance it asks, and a change of the fleet
/// changes the part only by the instances that come or leave: clients close their connections to
/// instances that they are no longer offered.
pub fn client_part(
    mut instances: Vec<SocketAddr>,
    client: Option<IpAddr>,
    limit: usize,
) -> Vec<SocketAddr> {
    if instances.len() > limit {
        instances.sort_by_cached_key(|instance| rendezvous_key(*instance, client));
        instances.truncate(limit);
    }
    instances
}

fn rendezvous_key(instance: SocketAddr, client: Option<IpAddr>) -> [u8; 32] {
    *blake3::hash(format!("{client:?} {instance}").as_bytes()).as_bytes()
}
