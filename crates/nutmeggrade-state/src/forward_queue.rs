//! Queue of changes of placed work that are forwarded in batches.

use std::collections::BTreeMap;

use nutmeggrade_core::peer::{DomainPart, InstanceLoad};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::PlacedLoad;

/// Maximum number of instances whose changes go into one datagram; each takes about a hundred
/// bytes.
const MAX_INSTANCES: usize = 32;

type PlacedByEndpoint = BTreeMap<EndpointId, PlacedLoad>;

/// Queue of changes of placed work that are forwarded in batches, by the part of the failure domain
/// that they go to.
///
/// Every change goes to all instances. Forwarded one by one, they cost an instance of a large fleet
/// hundreds of datagrams a second.
#[derive(Debug, Default)]
pub struct ForwardQueue {
    queued: BTreeMap<DomainPart, BTreeMap<InstanceId, PlacedByEndpoint>>,
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
        for InstanceLoad { instance, placed } in changes {
            let by_endpoint = by_instance.entry(instance.clone()).or_default();
            by_endpoint.extend(placed.iter().map(|(endpoint, placed)| (endpoint.clone(), *placed)));
        }
        was_empty
    }

    /// Removes queued changes of an instance at the endpoints of a newer change.
    pub fn drop_superseded(&mut self, change: &InstanceLoad) {
        for instances in self.queued.values_mut() {
            if let Some(by_endpoint) = instances.get_mut(&change.instance) {
                by_endpoint.retain(|endpoint, _| !change.placed.contains_key(endpoint));
            }
        }
    }

    /// Removes and returns all queued changes, in messages that each fit into a datagram.
    pub fn take(&mut self) -> Vec<(DomainPart, Vec<InstanceLoad>)> {
        let mut messages = Vec::new();
        for (share, instances) in std::mem::take(&mut self.queued) {
            let placed = instances.into_iter().filter(|(_, placed)| !placed.is_empty());
            let changes: Vec<InstanceLoad> =
                placed.map(|(instance, placed)| InstanceLoad { instance, placed }).collect();
            messages.extend(changes.chunks(MAX_INSTANCES).map(|part| (share, part.to_vec())));
        }
        messages
    }
}
