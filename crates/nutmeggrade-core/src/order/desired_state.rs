//! Desired state of engines.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ModelRef, Order, Role};
use crate::id::{ChangeId, EndpointId};

/// Key prefix of desired states in the platform's object store, one object per version.
pub const ORDER_PREFIX: &str = "orders/";

/// One version of the state that operators want for an engine.
///
/// As with the configuration, version n+1 is an object that is created only if absent. Operators
/// with conflicting orders for one engine can't overwrite each other unnoticed: the platform
/// accepts one, and the other operator is shown whose order came first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DesiredState {
    /// Number of orders to this engine, from 1.
    pub version: u64,
    /// Id of the order; identifies the writer when the response to a write was lost.
    pub id: ChangeId,
    /// Author of the order.
    pub who: String,
    /// Reason for the order.
    pub why: String,
    /// Wall time in Unix milliseconds, for display only.
    pub at_ms: u64,
    /// The order that produced this version.
    pub change: Order,
    /// Whether each item must be loaded or unloaded; unlisted items are left unchanged.
    pub loads: BTreeMap<ModelRef, bool>,
    /// The role; absent until one is ordered.
    pub role: Option<Role>,
}

impl DesiredState {
    /// Creates the version that follows `previous`, or the first version if there is none.
    pub fn new(
        previous: Option<&Self>,
        id: ChangeId,
        who: &str,
        why: &str,
        change: &Order,
    ) -> Self {
        let mut next = Self {
            version: previous.map_or(0, |d| d.version) + 1,
            id,
            who: who.to_owned(),
            why: why.to_owned(),
            at_ms: 0,
            change: change.clone(),
            loads: previous.map(|d| d.loads.clone()).unwrap_or_default(),
            role: previous.and_then(|d| d.role),
        };
        match change {
            Order::Load { load } => drop(next.loads.insert(load.clone(), true)),
            Order::Unload { load } => drop(next.loads.insert(load.clone(), false)),
            Order::Role { role } => next.role = Some(*role),
        }
        next
    }

    /// Sets the wall time of the order.
    #[must_use]
    pub fn with_time(mut self, at_ms: u64) -> Self {
        self.at_ms = at_ms;
        self
    }

    /// Returns whether an order would have no effect.
    pub fn has(&self, change: &Order) -> bool {
        match change {
            Order::Load { load } => self.loads.get(load) == Some(&true),
            Order::Unload { load } => self.loads.get(load) == Some(&false),
            Order::Role { role } => self.role == Some(*role),
        }
    }

    /// Returns the key prefix of an engine's versions.
    pub fn prefix(endpoint: &EndpointId) -> String {
        format!("{ORDER_PREFIX}{endpoint}/")
    }

    /// Returns the key of a version; keys sort by version.
    pub fn key(endpoint: &EndpointId, version: u64) -> String {
        format!("{ORDER_PREFIX}{endpoint}/{version:09}")
    }

    /// Returns the engine that a key belongs to.
    pub fn endpoint(key: &str) -> Option<EndpointId> {
        let rest = key.strip_prefix(ORDER_PREFIX)?;
        EndpointId::new(rest.split('/').next()?).ok()
    }
}
