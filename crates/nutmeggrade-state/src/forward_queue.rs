//! Queue of changes of placed work that are forwarded in batches.

use std::collections::BTreeMap;

use nutmeggrade_core::peer::{DomainPart, InstanceLoad, WaitingReport};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::PlacedLoad;

/// Maximum number of instances whose changes go into one datagram; each takes about a hundred
/// bytes.
const MAX_INSTANCES: usize = 32;

/// Queued changes of one instance.
#[derive(Debug, Default)]
struct QueuedLoad {
    placed: BTreeMap<EndpointId, PlacedLoad>,
    waiting: WaitingReport,
}

/// Queue of changes of placed work that are forwarded in batches, by the part of the failure domain
/// that they go to.
///
/// Every change goes to all instances. Forwarded one by one, they cost an instance of a large fleet
/// hundreds of datagrams a second.
#[derive(Debug, Default)]
pub struct ForwardQueue {
    queued: BTreeMap<DomainPart, BTreeMap<InstanceId, QueuedLoad>>,
}

impl ForwardQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds changes of several instances; returns whether the queue was empty before.
    pub fn add(&mut self, share: DomainPart, changes: &[InstanceLoad]) -> bool {
        let was_empty = self.queued.is_empty();
        let by_instance = self.queued.entry(share).or_default();
        for InstanceLoad { instance, placed, waiting } in changes {
            let queued = by_instance.entry(instance.clone()).or_default();
            let placed = placed.iter().map(|(endpoint, placed)| (endpoint.clone(), *placed));
            queued.placed.extend(placed);
            if !waiting.is_empty() {
                queued.waiting = waiting.clone();
            }
        }
        was_empty
    }

    /// Removes queued changes of an instance at the endpoints of a newer change, and its report of
    /// waiting requests if the newer change carries one.
    pub fn drop_superseded(&mut self, change: &InstanceLoad) {
        for instances in self.queued.values_mut() {
            if let Some(queued) = instances.get_mut(&change.instance) {
                queued.placed.retain(|endpoint, _| !change.placed.contains_key(endpoint));
                if !change.waiting.is_empty() {
                    queued.waiting = WaitingReport::default();
                }
            }
        }
    }

    /// Removes and returns all queued changes, in messages that each fit into a datagram.
    pub fn take(&mut self) -> Vec<(DomainPart, Vec<InstanceLoad>)> {
        let mut messages = Vec::new();
        for (share, instances) in std::mem::take(&mut self.queued) {
            let queued = instances.into_iter();
            let queued = queued.filter(|(_, q)| !q.placed.is_empty() || !q.waiting.is_empty());
            let to_load = |(instance, queued): (InstanceId, QueuedLoad)| {
                InstanceLoad::new(instance, queued.placed).with_waiting(queued.waiting)
            };
            let changes: Vec<InstanceLoad> = queued.map(to_load).collect();
            messages.extend(changes.chunks(MAX_INSTANCES).map(|part| (share, part.to_vec())));
        }
        messages
    }
}
