//! Services whose endpoints an instance can't connect to.

use std::collections::BTreeMap;

use nutmeggrade_core::prelude::*;

/// Services whose endpoints this instance can't connect to, though the endpoints may be fine.
///
/// A refused or unanswered connection looks the same for an endpoint that is down and for an instance
/// that lost its links. If the two were not told apart, such an instance would fail its clients'
/// requests one endpoint after the other, and report every endpoint to its peers as gone.
#[derive(Debug, Default)]
pub struct ReachTable {
    cut_off_since: BTreeMap<ServiceId, Moment>,
}

impl ReachTable {
    /// Creates a table in which every service can be reached.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that no endpoint of a service can be connected to; returns whether that is new.
    pub fn set_cut_off(&mut self, service: &ServiceId, now: Moment) -> bool {
        if self.is_cut_off(service) {
            return false;
        }
        self.cut_off_since.insert(service.clone(), now);
        true
    }

    /// Records that an endpoint of a service was connected to; returns since when none could be.
    pub fn set_reached(&mut self, service: &ServiceId) -> Option<Moment> {
        self.cut_off_since.remove(service)
    }

    /// Returns whether no endpoint of a service can be connected to.
    pub fn is_cut_off(&self, service: &ServiceId) -> bool {
        self.cut_off_since.contains_key(service)
    }

    /// Lists the services that can't be reached.
    pub fn cut_off_services(&self) -> Vec<ServiceId> {
        self.cut_off_since.keys().cloned().collect()
    }
}
