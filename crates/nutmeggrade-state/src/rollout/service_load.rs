//! Load of the endpoints of a service during a rollout.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::rollout::Capacity;

use crate::registry::Registry;

/// Load of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Number of requests that it can process at a time.
    pub slots: u32,
    /// Number of requests of all instances at the endpoint.
    pub running: u32,
    /// Number of requests of this instance at the endpoint.
    pub own: u32,
    /// Whether it is an engine, whose requests are generations.
    pub is_engine: bool,
}

/// Load of the endpoints of a service during a rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Capacity and load by version.
    pub capacity: Capacity,
    /// Number of requests of this instance at other versions.
    pub own_running: u32,
    /// Number of generations at other versions, which have to end there.
    pub generations: u32,
}

impl ServiceLoad {
    /// Sums the load of all endpoints of the service.
    pub fn new(
        registry: &Registry,
        (service, version): (&ServiceId, &VersionId),
        load: impl Fn(&EndpointInfo) -> EndpointLoad,
        now: Moment,
    ) -> Self {
        let mut sums = Self::default();
        for entry in registry.all().filter(|e| e.info.service == *service) {
            let EndpointLoad { slots, running, own, is_engine } = load(&entry.info);
            let is_open = registry.is_open(entry);
            let capacity = &mut sums.capacity;
            capacity.running += running;
            if entry.info.version.as_ref() == Some(version) {
                capacity.has_new = true;
                capacity.new_slots += if is_open && entry.is_warm(now) { slots } else { 0 };
            } else {
                capacity.has_old = true;
                capacity.old_slots += if is_open { slots } else { 0 };
                sums.own_running += own;
                sums.generations += if is_engine { running } else { 0 };
            }
        }
        sums
    }
}
