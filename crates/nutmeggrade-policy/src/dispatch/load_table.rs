//! Load of endpoints from this instance and its peers.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::prelude::*;

use super::{Health, PlacedLoad, Released};
use crate::Ticket;

#[derive(Debug, Clone)]
struct OwnRequest {
    endpoint: EndpointId,
    placed: PlacedLoad,
}

/// Load that this instance and its peers have placed at each endpoint.
///
/// Instances that choose by the same stale reports all see the same free engine and fill it. They
/// therefore exchange their placements several times a second, counted by what each request will
/// use in the end, so that each choice takes the others' choices into account shortly after.
#[derive(Debug, Default)]
pub struct LoadTable {
    own: BTreeMap<Ticket, OwnRequest>,
    own_totals: BTreeMap<EndpointId, PlacedLoad>,
    peers: BTreeMap<InstanceId, BTreeMap<EndpointId, PlacedLoad>>,
    peer_totals: BTreeMap<EndpointId, PlacedLoad>,
    released: BTreeMap<EndpointId, Released>,
    ended: Vec<Ticket>,
    health: BTreeMap<EndpointId, Health>,
    changed: BTreeSet<EndpointId>,
    is_urgent: bool,
}

/// Load of an instance at the endpoints where it has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadChanges {
    /// Total load of the instance at each of these endpoints.
    pub placed: BTreeMap<EndpointId, PlacedLoad>,
    /// Whether a copy of a generation began or ended; instances use this to take turns at copying.
    pub is_urgent: bool,
}

impl LoadTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request goes to an endpoint.
    pub fn place(&mut self, ticket: Ticket, endpoint: &EndpointId, placed: PlacedLoad) {
        self.end(ticket);
        self.mark_changed(endpoint, placed);
        *self.own_totals.entry(endpoint.clone()).or_default() += placed;
        self.own.insert(ticket, OwnRequest { endpoint: endpoint.clone(), placed });
    }

    /// Records that the prompt of a request has been read.
    pub fn record_prompt_read(&mut self, ticket: Ticket) {
        let Some(own) = self.own.get_mut(&ticket) else { return };
        let read = PlacedLoad { reading: own.placed.reading, ..PlacedLoad::default() };
        own.placed -= read;
        self.changed.insert(own.endpoint.clone());
        if let Some(sum) = self.own_totals.get_mut(&own.endpoint) {
            *sum -= read;
        }
    }

    /// Records how many tokens of a request are being copied to or from its endpoint.
    pub fn set_moving(&mut self, ticket: Ticket, tokens: u64) {
        let Some(own) = self.own.get_mut(&ticket) else { return };
        let old = PlacedLoad { moving: own.placed.moving, ..PlacedLoad::default() };
        let new = PlacedLoad { moving: tokens, ..PlacedLoad::default() };
        own.placed -= old;
        own.placed += new;
        self.is_urgent = true;
        self.changed.insert(own.endpoint.clone());
        if let Some(sum) = self.own_totals.get_mut(&own.endpoint) {
            *sum -= old;
            *sum += new;
        }
    }

    /// Records that a request uses at least this much memory, which may exceed the expected amount.
    pub fn grow(&mut self, ticket: Ticket, memory: u64) {
        let Some(own) = self.own.get_mut(&ticket) else { return };
        let growth = PlacedLoad {
            memory: memory.saturating_sub(own.placed.memory),
            ..PlacedLoad::default()
        };
        own.placed += growth;
        if let Some(sum) = self.own_totals.get_mut(&own.endpoint) {
            *sum += growth;
        }
    }

    /// Records that a request has left its endpoint.
    pub fn end(&mut self, ticket: Ticket) {
        let Some(own) = self.own.remove(&ticket) else { return };
        self.mark_changed(&own.endpoint, own.placed);
        add_released(&mut self.released, &own.endpoint, Released::end(own.placed.memory));
        if own.placed.memory > 0 {
            self.ended.push(ticket);
        }
        if let Some(sum) = self.own_totals.get_mut(&own.endpoint) {
            *sum -= own.placed;
            if sum.requests == 0 {
                self.own_totals.remove(&own.endpoint);
            }
        }
    }

    /// Returns whether a request of this instance is at an endpoint.
    pub fn is_placed(&self, ticket: Ticket) -> bool {
        self.own.contains_key(&ticket)
    }

    /// Replaces the load of a peer.
    pub fn set_peer(&mut self, peer: &InstanceId, placed: &BTreeMap<EndpointId, PlacedLoad>) {
        let old = self.peers.insert(peer.clone(), placed.clone()).unwrap_or_default();
        for (endpoint, old) in &old {
            let new = placed.get(endpoint).copied().unwrap_or_default();
            add_released(&mut self.released, endpoint, Released::between(old, &new));
            replace(&mut self.peer_totals, endpoint, *old, PlacedLoad::default());
        }
        for (endpoint, new) in placed {
            replace(&mut self.peer_totals, endpoint, PlacedLoad::default(), *new);
        }
    }

    /// Updates the load of a peer at some endpoints.
    pub fn change_peer(&mut self, peer: &InstanceId, placed: &BTreeMap<EndpointId, PlacedLoad>) {
        let peer_load = self.peers.entry(peer.clone()).or_default();
        for (endpoint, new) in placed {
            let old = peer_load.insert(endpoint.clone(), *new).unwrap_or_default();
            add_released(&mut self.released, endpoint, Released::between(&old, new));
            replace(&mut self.peer_totals, endpoint, old, *new);
        }
    }

    /// Returns the load of this instance at the endpoints where it has changed since the last call.
    pub fn take_changes(&mut self) -> LoadChanges {
        let changed = std::mem::take(&mut self.changed);
        let current = |id: EndpointId| {
            let placed = self.own_totals.get(&id).copied().unwrap_or_default();
            (id, placed)
        };
        let placed = changed.into_iter().map(current).collect();
        LoadChanges { placed, is_urgent: std::mem::take(&mut self.is_urgent) }
    }

    /// Returns what this instance's and peers' requests have released at each endpoint since the last
    /// call. Load of peers that are gone is not counted: it ends once, at no rate.
    pub fn take_released(&mut self) -> BTreeMap<EndpointId, Released> {
        std::mem::take(&mut self.released)
    }

    /// Returns this instance's requests that have released memory since the last call.
    pub fn take_ended(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.ended)
    }

    /// Removes the load of a peer that is gone.
    pub fn remove_peer(&mut self, peer: &InstanceId) {
        for (endpoint, old) in self.peers.remove(peer).unwrap_or_default() {
            replace(&mut self.peer_totals, &endpoint, old, PlacedLoad::default());
        }
    }

    /// Removes peers that are gone.
    pub fn retain_peers(&mut self, is_present: impl Fn(&InstanceId) -> bool) {
        let old_count = self.peers.len();
        self.peers.retain(|peer, _| is_present(peer));
        if self.peers.len() != old_count {
            self.recompute_peers();
        }
    }

    /// Marks an endpoint's load for immediate transmission to peers if the request is for an
    /// engine, where a choice without it costs memory and seconds. Short calls end before it would
    /// help.
    fn mark_changed(&mut self, endpoint: &EndpointId, placed: PlacedLoad) {
        if placed.memory > 0 {
            self.changed.insert(endpoint.clone());
        }
    }

    fn recompute_peers(&mut self) {
        self.peer_totals.clear();
        for (endpoint, placed) in self.peers.values().flatten() {
            *self.peer_totals.entry(endpoint.clone()).or_default() += *placed;
        }
    }

    /// Returns the total load of an endpoint.
    pub fn load(&self, endpoint: &EndpointId) -> PlacedLoad {
        let mut sum = self.own_totals.get(endpoint).copied().unwrap_or_default();
        sum += self.peer_totals.get(endpoint).copied().unwrap_or_default();
        sum
    }

    /// Returns the number of instances whose load is known, this one included.
    pub fn instance_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the load of this instance at each endpoint.
    pub fn own_loads(&self) -> &BTreeMap<EndpointId, PlacedLoad> {
        &self.own_totals
    }

    /// Returns the health of an endpoint, if any response has been recorded.
    pub fn health(&self, endpoint: &EndpointId) -> Option<&Health> {
        self.health.get(endpoint)
    }

    /// Returns the health of an endpoint for update.
    pub fn health_mut(&mut self, endpoint: &EndpointId) -> &mut Health {
        self.health.entry(endpoint.clone()).or_default()
    }

    /// Returns the response counts not yet sent to peers, of endpoints with failures, and resets
    /// them.
    pub fn take_failures(&mut self) -> BTreeMap<EndpointId, (u32, u32)> {
        let unsent = |(id, health): (&EndpointId, &mut Health)| {
            health.take_unsent().map(|counted| (id.clone(), counted))
        };
        self.health.iter_mut().filter_map(unsent).collect()
    }

    /// Removes the health of an endpoint that is gone.
    pub fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.health.remove(endpoint);
    }

    /// Removes the health of endpoints that are gone.
    pub fn retain_endpoints(&mut self, is_present: impl Fn(&EndpointId) -> bool) {
        self.health.retain(|endpoint, _| is_present(endpoint));
    }
}

/// Adds memory that was released at an endpoint.
fn add_released(
    all: &mut BTreeMap<EndpointId, Released>,
    endpoint: &EndpointId,
    released: Released,
) {
    if released.memory > 0 {
        *all.entry(endpoint.clone()).or_default() += released;
    }
}

/// Replaces a contribution to an endpoint's total and removes totals that become zero.
fn replace(
    totals: &mut BTreeMap<EndpointId, PlacedLoad>,
    id: &EndpointId,
    old: PlacedLoad,
    new: PlacedLoad,
) {
    let sum = totals.entry(id.clone()).or_default();
    *sum -= old;
    *sum += new;
    if *sum == PlacedLoad::default() {
        totals.remove(id);
    }
}
