//! What operators want of each engine, as this instance knows it.

use std::collections::BTreeMap;

use nutmeggrade_core::order::DesiredState;
use nutmeggrade_core::prelude::*;

/// Holds the highest version of what is wanted of each engine.
#[derive(Debug, Default)]
pub struct OrderTable {
    wanted: BTreeMap<EndpointId, DesiredState>,
}

impl OrderTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a version if it is higher than the one known; a late older one would undo an order.
    pub fn offer(&mut self, endpoint: &EndpointId, desired: &DesiredState) {
        let known = self.wanted.get(endpoint).map_or(0, |d| d.version);
        if desired.version > known {
            self.wanted.insert(endpoint.clone(), desired.clone());
        }
    }

    /// Lists what is wanted of each engine.
    pub fn wanted(&self) -> impl Iterator<Item = (&EndpointId, &DesiredState)> {
        self.wanted.iter()
    }
}
