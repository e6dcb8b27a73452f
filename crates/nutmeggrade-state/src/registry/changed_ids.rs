//! Endpoints that may have changed since they were last looked at.

use std::collections::BTreeSet;

use nutmeggrade_core::prelude::*;

/// Endpoints that may have changed since they were last looked at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangedIds {
    /// All of them, as after a change of what applies to all.
    All,
    /// Some of them.
    Some(BTreeSet<EndpointId>),
}

impl Default for ChangedIds {
    fn default() -> Self {
        Self::Some(BTreeSet::new())
    }
}

impl ChangedIds {
    /// Adds an endpoint.
    pub fn add(&mut self, id: &EndpointId) {
        if let Self::Some(ids) = self {
            ids.insert(id.clone());
        }
    }

    /// Adds all endpoints.
    pub fn add_all(&mut self) {
        *self = Self::All;
    }
}
