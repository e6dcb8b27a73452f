//! The endpoints of a service that moves to another version.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_policy::rollout::Capacity;

use crate::registry::Registry;

/// Load of one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Requests that all instances have there.
    pub running: u32,
    /// Requests that this instance has there.
    pub own: u32,
    /// Whether what runs there can move.
    pub is_movable: bool,
}

/// The endpoints of a service that moves to another version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Surroundings {
    /// What the endpoints can bear.
    pub capacity: Capacity,
    /// Requests that this instance has at other versions.
    pub own_running: u32,
    /// Generations at other versions that have to move.
    pub movable: u32,
}

impl Surroundings {
    /// Looks at all endpoints of the service.
    pub fn new(
        registry: &Registry,
        (service, version): (&ServiceId, &VersionId),
        load: impl Fn(&EndpointInfo) -> EndpointLoad,
        now: Moment,
    ) -> Self {
        let mut found = Self::default();
        for entry in registry.all().filter(|e| e.info.service == *service) {
            let EndpointLoad { slots, running, own, is_movable } = load(&entry.info);
            let is_open = registry.is_open(entry);
            let capacity = &mut found.capacity;
            capacity.running += running;
            if entry.info.version.as_ref() == Some(version) {
                capacity.has_new = true;
                capacity.new_slots += if is_open && entry.is_warm(now) { slots } else { 0 };
            } else {
                capacity.has_old = true;
                capacity.old_slots += if is_open { slots } else { 0 };
                found.own_running += own;
                found.movable += if is_movable { running } else { 0 };
            }
        }
        found
    }
}
