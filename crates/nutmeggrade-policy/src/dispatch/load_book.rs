//! Who has how much where.

use std::collections::{BTreeMap, BTreeSet};

use nutmeggrade_core::prelude::*;

use super::{Health, Placed};
use crate::Ticket;

#[derive(Debug, Clone)]
struct Own {
    endpoint: EndpointId,
    placed: Placed,
}

/// What this instance and its peers have at each endpoint.
///
/// Answers several instances that choose by the same stale reports: each sees the same free engine
/// and all fill it. Instances tell each other several times a second what they have placed, counted
/// by what it will take in the end, so that a choice knows of the others' choices a moment later.
#[derive(Debug, Default)]
pub struct LoadBook {
    own: BTreeMap<Ticket, Own>,
    own_sum: BTreeMap<EndpointId, Placed>,
    peers: BTreeMap<InstanceId, BTreeMap<EndpointId, Placed>>,
    peer_sum: BTreeMap<EndpointId, Placed>,
    health: BTreeMap<EndpointId, Health>,
    changed: BTreeSet<EndpointId>,
    is_urgent: bool,
}

/// What an instance has at the endpoints where that has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// All that it has at each of them.
    pub placed: BTreeMap<EndpointId, Placed>,
    /// Whether a copy of a generation began or ended, by which instances take turns.
    pub is_urgent: bool,
}

impl LoadBook {
    /// Makes an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request goes to an endpoint.
    pub fn place(&mut self, ticket: Ticket, endpoint: &EndpointId, placed: Placed) {
        self.end(ticket);
        self.note_change(endpoint, placed);
        *self.own_sum.entry(endpoint.clone()).or_default() += placed;
        self.own.insert(ticket, Own { endpoint: endpoint.clone(), placed });
    }

    /// Notes that a request's prompt is read.
    pub fn has_read(&mut self, ticket: Ticket) {
        let Some(own) = self.own.get_mut(&ticket) else { return };
        let read = Placed { reading: own.placed.reading, ..Placed::default() };
        own.placed -= read;
        self.changed.insert(own.endpoint.clone());
        if let Some(sum) = self.own_sum.get_mut(&own.endpoint) {
            *sum -= read;
        }
    }

    /// Notes how much of a request is being copied to or from its endpoint.
    pub fn set_moving(&mut self, ticket: Ticket, tokens: u64) {
        let Some(own) = self.own.get_mut(&ticket) else { return };
        let old = Placed { moving: own.placed.moving, ..Placed::default() };
        let new = Placed { moving: tokens, ..Placed::default() };
        own.placed -= old;
        own.placed += new;
        self.is_urgent = true;
        self.changed.insert(own.endpoint.clone());
        if let Some(sum) = self.own_sum.get_mut(&own.endpoint) {
            *sum -= old;
            *sum += new;
        }
    }

    /// Notes that a request takes at least this much memory, which may be more than was expected.
    pub fn grow(&mut self, ticket: Ticket, memory: u64) {
        let Some(own) = self.own.get_mut(&ticket) else { return };
        let more = Placed { memory: memory.saturating_sub(own.placed.memory), ..Placed::default() };
        own.placed += more;
        if let Some(sum) = self.own_sum.get_mut(&own.endpoint) {
            *sum += more;
        }
    }

    /// Notes that a request is at its endpoint no more.
    pub fn end(&mut self, ticket: Ticket) {
        let Some(own) = self.own.remove(&ticket) else { return };
        self.note_change(&own.endpoint, own.placed);
        if let Some(sum) = self.own_sum.get_mut(&own.endpoint) {
            *sum -= own.placed;
            if sum.requests == 0 {
                self.own_sum.remove(&own.endpoint);
            }
        }
    }

    /// Takes what a peer has placed.
    pub fn set_peer(&mut self, peer: &InstanceId, placed: &BTreeMap<EndpointId, Placed>) {
        let old = self.peers.insert(peer.clone(), placed.clone()).unwrap_or_default();
        for (endpoint, old) in &old {
            replace(&mut self.peer_sum, endpoint, *old, Placed::default());
        }
        for (endpoint, new) in placed {
            replace(&mut self.peer_sum, endpoint, Placed::default(), *new);
        }
    }

    /// Takes what a peer has at some endpoints.
    pub fn change_peer(&mut self, peer: &InstanceId, placed: &BTreeMap<EndpointId, Placed>) {
        let all = self.peers.entry(peer.clone()).or_default();
        for (endpoint, new) in placed {
            let old = all.insert(endpoint.clone(), *new).unwrap_or_default();
            replace(&mut self.peer_sum, endpoint, old, *new);
        }
    }

    /// Returns what this instance has at the endpoints where that has changed since the last call.
    pub fn take_changes(&mut self) -> Changes {
        let changed = std::mem::take(&mut self.changed);
        let now = |id: EndpointId| {
            let placed = self.own_sum.get(&id).copied().unwrap_or_default();
            (id, placed)
        };
        let placed = changed.into_iter().map(now).collect();
        Changes { placed, is_urgent: std::mem::take(&mut self.is_urgent) }
    }

    /// Forgets peers that are gone.
    pub fn keep_peers(&mut self, is_there: impl Fn(&InstanceId) -> bool) {
        let before = self.peers.len();
        self.peers.retain(|peer, _| is_there(peer));
        if self.peers.len() != before {
            self.sum_peers();
        }
    }

    /// Notes what peers are told at once: work at engines, where a choice that does not know of it
    /// costs memory and seconds. Short calls are over before it would help.
    fn note_change(&mut self, endpoint: &EndpointId, placed: Placed) {
        if placed.memory > 0 {
            self.changed.insert(endpoint.clone());
        }
    }

    fn sum_peers(&mut self) {
        self.peer_sum.clear();
        for (endpoint, placed) in self.peers.values().flatten() {
            *self.peer_sum.entry(endpoint.clone()).or_default() += *placed;
        }
    }

    /// Returns what everybody has at an endpoint.
    pub fn at(&self, endpoint: &EndpointId) -> Placed {
        let mut sum = self.own_sum.get(endpoint).copied().unwrap_or_default();
        sum += self.peer_sum.get(endpoint).copied().unwrap_or_default();
        sum
    }

    /// Returns what this instance has at each endpoint.
    pub fn own(&self) -> &BTreeMap<EndpointId, Placed> {
        &self.own_sum
    }

    /// Returns what an endpoint's own answers say of it.
    pub fn health(&self, endpoint: &EndpointId) -> Option<&Health> {
        self.health.get(endpoint)
    }

    /// Returns what an endpoint's own answers say of it, to add to it.
    pub fn health_mut(&mut self, endpoint: &EndpointId) -> &mut Health {
        self.health.entry(endpoint.clone()).or_default()
    }

    /// Takes the answers that peers were not told yet, of endpoints that failed some.
    pub fn take_failures(&mut self) -> BTreeMap<EndpointId, (u32, u32)> {
        let untold = |(id, health): (&EndpointId, &mut Health)| {
            health.take_untold().map(|counted| (id.clone(), counted))
        };
        self.health.iter_mut().filter_map(untold).collect()
    }

    /// Forgets what is known of endpoints that are gone.
    pub fn keep_endpoints(&mut self, is_there: impl Fn(&EndpointId) -> bool) {
        self.health.retain(|endpoint, _| is_there(endpoint));
    }
}

/// Replaces a part of an endpoint's sum; nothing is kept of one that becomes zero.
fn replace(sums: &mut BTreeMap<EndpointId, Placed>, id: &EndpointId, old: Placed, new: Placed) {
    let sum = sums.entry(id.clone()).or_default();
    *sum -= old;
    *sum += new;
    if *sum == Placed::default() {
        sums.remove(id);
    }
}
