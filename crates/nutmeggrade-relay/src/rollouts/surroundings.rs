//! What an instance knows of the endpoints of a service that moves to another version.

use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::RouteMap;
use nutmeggrade_policy::rollout::Capacity;

use crate::tables::Tables;

/// What an instance knows of the endpoints of a service that moves to another version.
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
        tables: &Tables,
        map: &RouteMap,
        service: &ServiceId,
        version: &VersionId,
        now: Moment,
    ) -> Self {
        let mut found = Self::default();
        let engine = map.service(service).and_then(|s| s.engine);
        let book = &tables.dispatcher.book;
        for entry in tables.registry.all().filter(|e| e.info.service == *service) {
            let slots = engine.map_or(entry.info.slots, |e| e.slots);
            let is_open = tables.registry.is_open(entry);
            let running = book.at(&entry.info.id).requests;
            let capacity = &mut found.capacity;
            capacity.running += running;
            if entry.info.version.as_ref() == Some(version) {
                capacity.has_new = true;
                capacity.new_slots += if is_open && entry.is_warm(now) { slots } else { 0 };
            } else {
                capacity.has_old = true;
                capacity.old_slots += if is_open { slots } else { 0 };
                found.own_running += book.own().get(&entry.info.id).map_or(0, |p| p.requests);
                found.movable += if engine.is_some_and(|e| e.moves) { running } else { 0 };
            }
        }
        found
    }
}
