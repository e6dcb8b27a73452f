//! Changes of placed work that wait to be forwarded together.

use std::collections::BTreeMap;

use nutmeggrade_core::peer::{DomainPart, InstanceLoad};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::Placed;

/// Instances whose changes go into one datagram; each takes some hundred bytes.
const MOST_INSTANCES: usize = 32;

type ByEndpoint = BTreeMap<EndpointId, Placed>;

/// Changes of placed work that wait to be forwarded together, by the part of the failure domain that
/// they go to.
///
/// Every change is for everybody. Forwarded one by one they cost an instance of a large fleet hundreds of
/// datagrams a second.
#[derive(Debug, Default)]
pub struct ForwardQueue {
    waiting: BTreeMap<DomainPart, BTreeMap<InstanceId, ByEndpoint>>,
}

impl ForwardQueue {
    /// Makes an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds what an instance has placed; says whether nothing waited before.
    pub fn add(&mut self, share: DomainPart, changes: &[InstanceLoad]) -> bool {
        let was_empty = self.waiting.is_empty();
        let of_share = self.waiting.entry(share).or_default();
        for InstanceLoad { instance, placed } in changes {
            let of_instance = of_share.entry(instance.clone()).or_default();
            of_instance.extend(placed.iter().map(|(endpoint, placed)| (endpoint.clone(), *placed)));
        }
        was_empty
    }

    /// Drops what waits of an instance at the endpoints of a change that overtakes it.
    pub fn overtake(&mut self, change: &InstanceLoad) {
        for instances in self.waiting.values_mut() {
            if let Some(of_instance) = instances.get_mut(&change.instance) {
                of_instance.retain(|endpoint, _| !change.placed.contains_key(endpoint));
            }
        }
    }

    /// Takes all that waits, in messages that fit into a datagram each.
    pub fn take(&mut self) -> Vec<(DomainPart, Vec<InstanceLoad>)> {
        let mut messages = Vec::new();
        for (share, instances) in std::mem::take(&mut self.waiting) {
            let placed = instances.into_iter().filter(|(_, placed)| !placed.is_empty());
            let all: Vec<InstanceLoad> =
                placed.map(|(instance, placed)| InstanceLoad { instance, placed }).collect();
            messages.extend(all.chunks(MOST_INSTANCES).map(|part| (share, part.to_vec())));
        }
        messages
    }
}
