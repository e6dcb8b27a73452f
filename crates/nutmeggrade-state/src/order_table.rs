//! Desired state of each engine, as known to this instance.

use std::collections::BTreeMap;

use nutmeggrade_core::order::DesiredState;
use nutmeggrade_core::prelude::*;

/// Table of the highest known version of each engine's desired state.
#[derive(Debug, Default)]
pub struct OrderTable {
    wanted: BTreeMap<EndpointId, DesiredState>,
}

impl OrderTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores a version if it is higher than the known one; an older one that arrives late would
    /// undo an order.
    pub fn update(&mut self, endpoint: &EndpointId, desired: &DesiredState) {
        let known = self.wanted.get(endpoint).map_or(0, |d| d.version);
        if desired.version > known {
            self.wanted.insert(endpoint.clone(), desired.clone());
        }
    }

    /// Lists the desired state of each engine.
    pub fn wanted(&self) -> impl Iterator<Item = (&EndpointId, &DesiredState)> {
        self.wanted.iter()
    }
}
