//! Table of the endpoints, as seen by this instance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use nutmeggrade_core::prelude::*;

use crate::invariant;

/// Maximum number of stored addresses, including those of endpoints that are no longer listed.
const MAX_ADDRESSES: usize = 16_384;
/// Number of consecutive listings that must show a leaving endpoint as live before it counts as
/// live again: a minute by default, which is longer than the listing lags.
pub const RETURN_LISTINGS: u32 = 60;

/// Endpoints from the platform's lagging listing, and those that operators took out of service.
#[derive(Debug, Default)]
pub struct EndpointTable {
    listed: BTreeMap<EndpointId, Endpoint>,
    has_list: bool,
    out_domains: BTreeSet<DomainId>,
    out_endpoints: BTreeSet<EndpointId>,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    announced_leaving: BTreeSet<EndpointId>,
    live_listings: BTreeMap<EndpointId, u32>,
}

impl EndpointTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the listing.
    ///
    /// The listing lags, so an endpoint seen as leaving stays so until the listing drops it or has
    /// shown it as live for long. Otherwise an older response would revert it, and it would get new
    /// work while it shuts down.
    pub fn set_list(&mut self, list: &[Endpoint]) {
        let mut listed = BTreeMap::new();
        for endpoint in list {
            let mut endpoint = endpoint.clone();
            let old = self.listed.get(&endpoint.id);
            let was_leaving = old.is_some_and(|o| {
                o.state == EndpointState::Leaving && o.address == endpoint.address
            });
            if was_leaving && !self.has_returned(&endpoint) {
                endpoint.state = EndpointState::Leaving;
            }
            listed.insert(endpoint.id.clone(), endpoint);
        }
        if self.addresses.len() > MAX_ADDRESSES {
            self.addresses.clear();
        }
        self.addresses.extend(listed.values().map(|e| (e.id.clone(), e.address)));
        self.listed = listed;
        self.has_list = true;
        self.announced_leaving.retain(|e| self.listed.contains_key(e));
        self.live_listings.retain(|e, _| self.listed.contains_key(e));
    }

    /// Returns whether a listing was read, even an empty one.
    pub const fn is_known(&self) -> bool {
        self.has_list
    }

    /// Returns whether an endpoint seen as leaving was listed as live often enough to count as live
    /// again.
    fn has_returned(&mut self, endpoint: &Endpoint) -> bool {
        let live_count = self.live_listings.entry(endpoint.id.clone()).or_default();
        *live_count = if endpoint.state == EndpointState::Live { *live_count + 1 } else { 0 };
        *live_count >= RETURN_LISTINGS
    }

    /// Records whether an endpoint announces its own shutdown, which is earlier than the listing.
    pub fn note_leaving(&mut self, id: &EndpointId, leaving: bool) {
        if leaving {
            self.announced_leaving.insert(id.clone());
        } else {
            self.announced_leaving.remove(id);
        }
    }

    /// Sets the listing from a peer's if there is none yet. A peer that has none sends an empty one, which
    /// isn't taken.
    pub fn init_list(&mut self, list: &[Endpoint]) {
        if !self.has_list && !list.is_empty() {
            self.set_list(list);
        }
    }

    /// Applies which failure domains and endpoints are out of service.
    pub fn set_config(&mut self, config: &Configuration) {
        self.out_domains.clone_from(&config.out_domains);
        self.out_endpoints.clone_from(&config.out_endpoints);
    }

    /// Returns whether new work may go to an endpoint; call it immediately before sending.
    pub fn may_send(&self, id: &EndpointId) -> bool {
        let Some(endpoint) = self.listed.get(id) else { return false };
        let is_allowed = self.in_service(endpoint);
        let is_leaving =
            self.announced_leaving.contains(id) || endpoint.state == EndpointState::Leaving;
        let is_out = self.out_endpoints.contains(id) || self.out_domains.contains(&endpoint.domain);
        invariant::check(!(is_allowed && is_leaving), "leaving_gets_no_work");
        invariant::check(!(is_allowed && is_out), "out_gets_no_work");
        is_allowed
    }

    /// Returns a listed endpoint, in service or not.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.listed.get(id)
    }

    /// Returns the current or last listed address of an endpoint.
    ///
    /// The listing drops an endpoint while its last streams still run. Without the last address, a
    /// caller that resumes one of them would be told that its generation is gone.
    pub fn address(&self, id: &EndpointId) -> Option<SocketAddr> {
        self.addresses.get(id).copied()
    }

    /// Lists all endpoints, in service or not.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values()
    }

    /// Returns whether a listed endpoint may get new work.
    pub fn in_service(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Live
            && !self.announced_leaving.contains(&endpoint.id)
            && !self.out_domains.contains(&endpoint.domain)
            && !self.out_endpoints.contains(&endpoint.id)
    }

    /// Lists the endpoints that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values().filter(|e| self.in_service(e))
    }
}
