//! The endpoints as this instance sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use nutmeggrade_core::prelude::*;

use crate::invariant;

/// Addresses that are kept, those of endpoints that left the list included.
const MAX_ADDRESSES: usize = 16_384;
/// Looks at the list in a row that show a leaving endpoint as live before it counts as live again:
/// a minute by default, longer than the list lags.
pub const RETURN_LOOKS: u32 = 60;

/// Endpoints from the platform's lagging list, less what operators took out.
#[derive(Debug, Default)]
pub struct EndpointTable {
    listed: BTreeMap<EndpointId, Endpoint>,
    known: bool,
    out_domains: BTreeSet<DomainId>,
    out_endpoints: BTreeSet<EndpointId>,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    said_leaving: BTreeSet<EndpointId>,
    listed_live: BTreeMap<EndpointId, u32>,
}

impl EndpointTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list.
    ///
    /// The list lags, so an endpoint already seen as leaving stays so until the list drops it or has
    /// shown it as live for long; else an older answer would bring it back and it would get new work
    /// while it goes.
    pub fn set_list(&mut self, list: &[Endpoint]) {
        let mut listed = BTreeMap::new();
        for endpoint in list {
            let mut endpoint = endpoint.clone();
            let old = self.listed.get(&endpoint.id);
            let was_leaving = old.is_some_and(|o| {
                o.state == EndpointState::Leaving && o.address == endpoint.address
            });
            if was_leaving && !self.stays(&endpoint) {
                endpoint.state = EndpointState::Leaving;
            }
            listed.insert(endpoint.id.clone(), endpoint);
        }
        if self.addresses.len() > MAX_ADDRESSES {
            self.addresses.clear();
        }
        self.addresses.extend(listed.values().map(|e| (e.id.clone(), e.address)));
        self.listed = listed;
        self.known = true;
        self.said_leaving.retain(|e| self.listed.contains_key(e));
        self.listed_live.retain(|e, _| self.listed.contains_key(e));
    }

    /// Says whether a list was read yet, be it empty.
    pub const fn is_known(&self) -> bool {
        self.known
    }

    /// Says whether an endpoint seen as leaving was listed as live often enough to stay after all.
    fn stays(&mut self, endpoint: &Endpoint) -> bool {
        let looks = self.listed_live.entry(endpoint.id.clone()).or_default();
        *looks = if endpoint.state == EndpointState::Live { *looks + 1 } else { 0 };
        *looks >= RETURN_LOOKS
    }

    /// Takes an endpoint's own word on whether it is about to go, which comes before the list's.
    pub fn note_leaving(&mut self, id: &EndpointId, leaving: bool) {
        if leaving {
            self.said_leaving.insert(id.clone());
        } else {
            self.said_leaving.remove(id);
        }
    }

    /// Takes a peer's list if there is none yet.
    pub fn start_with(&mut self, list: &[Endpoint]) {
        if self.listed.is_empty() {
            self.set_list(list);
        }
    }

    /// Takes over what operators have out.
    pub fn set_config(&mut self, config: &Configuration) {
        self.out_domains.clone_from(&config.out_domains);
        self.out_endpoints.clone_from(&config.out_endpoints);
    }

    /// Says whether new work may go to an endpoint; asked immediately before it is sent.
    pub fn may_send(&self, id: &EndpointId) -> bool {
        let Some(endpoint) = self.listed.get(id) else { return false };
        let may = self.in_service(endpoint);
        let is_leaving = self.said_leaving.contains(id) || endpoint.state == EndpointState::Leaving;
        let is_out = self.out_endpoints.contains(id) || self.out_domains.contains(&endpoint.domain);
        invariant::check(!(may && is_leaving), "leaving_gets_no_work");
        invariant::check(!(may && is_out), "out_gets_no_work");
        may
    }

    /// Returns an endpoint that is listed, in service or not.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.listed.get(id)
    }

    /// Returns where an endpoint is, or was when it was last listed.
    ///
    /// The list drops an endpoint while its last streams still run; a caller that resumes one then
    /// would be told that its generation is gone.
    pub fn address(&self, id: &EndpointId) -> Option<SocketAddr> {
        self.addresses.get(id).copied()
    }

    /// Lists all endpoints, in service or not.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values()
    }

    /// Says whether a listed endpoint may get new work.
    pub fn in_service(&self, endpoint: &Endpoint) -> bool {
        endpoint.state == EndpointState::Live
            && !self.said_leaving.contains(&endpoint.id)
            && !self.out_domains.contains(&endpoint.domain)
            && !self.out_endpoints.contains(&endpoint.id)
    }

    /// Lists the endpoints that may get new work.
    pub fn usable(&self) -> impl Iterator<Item = &Endpoint> {
        self.listed.values().filter(|e| self.in_service(e))
    }
}
