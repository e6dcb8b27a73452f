//! Instances that are responsible for an endpoint or a stream, ranked alike by all of them.

use nutmeggrade_core::peer::{InstanceAddresses, StreamKey};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;

use super::{FleetView, Peer, hash_key};

impl FleetView {
    /// Returns whether this instance ranks first for the endpoint among the live instances that can
    /// reach its service. The ranking differs between endpoints.
    pub fn ranks_first_for(&self, endpoint: &EndpointInfo, now: Moment) -> bool {
        let key = hash_key(endpoint.id.as_str());
        let own_key = self.reader_key ^ key;
        let reaches = |p: &&Peer| !p.unreachable.contains(&endpoint.service);
        let mut live = self.peers.values().filter(|p| self.is_heard(p, now)).filter(reaches);
        live.all(|peer| peer.reader_key ^ key > own_key)
    }

    /// Returns the live peers that know of a stream, the first two in different failure domains if
    /// there are several. All instances that hear the same peers rank them alike. One that has just
    /// started can know of a stream before it serves clients.
    pub fn stream_keepers(
        &self,
        stream: StreamKey,
        count: usize,
        now: Moment,
    ) -> Vec<InstanceAddresses> {
        let mut ranked: Vec<(u64, &InstanceAddresses)> = self
            .peers
            .values()
            .filter(|peer| self.is_heard(peer, now) && !peer.leaving)
            .map(|peer| (stream.rank(peer.reader_key), &peer.addresses))
            .collect();
        ranked.sort_unstable_by_key(|(rank, addresses)| (*rank, addresses.beacon));
        let first_domain = ranked.first().map(|(_, first)| &first.domain);
        let remote = ranked.iter().position(|(_, a)| Some(&a.domain) != first_domain);
        if let Some(remote) = remote {
            ranked[1..=remote].rotate_right(1);
        }
        ranked.into_iter().take(count).map(|(_, addresses)| addresses.clone()).collect()
    }
}
