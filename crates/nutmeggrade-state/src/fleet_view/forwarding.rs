//! Selection of the peers that requests can be forwarded to.

use std::net::SocketAddr;

use nutmeggrade_core::prelude::*;

use super::FleetView;

impl FleetView {
    /// Lists the live peers that serve clients and don't report a service as unreachable, with the
    /// addresses that take forwarded requests.
    pub fn forwarding_peers(
        &self,
        service: &ServiceId,
        now: Moment,
    ) -> Vec<(InstanceId, SocketAddr)> {
        let peers = self.peers.iter().filter(|(_, p)| self.is_heard(p, now) && p.serves());
        let able = peers.filter(|(_, p)| !p.unreachable.contains(service));
        able.map(|(name, p)| (name.clone(), p.addresses.beacon)).collect()
    }

    /// Records that a peer refused a request because it can't reach the service, until the peer's
    /// next heartbeat.
    pub fn note_unreachable(&mut self, peer: &InstanceId, service: &ServiceId) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.unreachable.insert(service.clone());
        }
    }
}
