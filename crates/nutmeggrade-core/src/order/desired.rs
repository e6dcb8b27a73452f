//! What operators want of an engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Load, Order, Role};
use crate::id::{ChangeId, EndpointId};

/// Prefix of the platform keys that hold what is wanted, a version an object.
pub const ORDER_PREFIX: &str = "orders/";

/// What operators want of one engine, at one version.
///
/// As with the configuration, version n+1 is an object that is created only if absent. Two operators
/// who want different things of one engine can't overwrite each other unseen: the platform lets one
/// win, and the other is shown whose order came first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Desired {
    /// Counts the orders to this engine, from 1.
    pub version: u64,
    /// The order's id; tells after a lost answer whose write it was.
    pub id: ChangeId,
    /// Who gave the order.
    pub who: String,
    /// Why.
    pub why: String,
    /// Wall time, milliseconds since 1970, for people only.
    pub at_ms: u64,
    /// The order that led here.
    pub change: Order,
    /// What must be loaded, or must not; what is not named stays as it is.
    pub loads: BTreeMap<Load, bool>,
    /// The role; absent as long as nobody ordered one.
    pub role: Option<Role>,
}

impl Desired {
    /// Makes the version after `before`; the first one without it.
    pub fn new(before: Option<&Self>, id: ChangeId, who: &str, why: &str, change: &Order) -> Self {
        let mut next = Self {
            version: before.map_or(0, |d| d.version) + 1,
            id,
            who: who.to_owned(),
            why: why.to_owned(),
            at_ms: 0,
            change: change.clone(),
            loads: before.map(|d| d.loads.clone()).unwrap_or_default(),
            role: before.and_then(|d| d.role),
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

    /// Says whether an order would alter nothing.
    pub fn has(&self, change: &Order) -> bool {
        match change {
            Order::Load { load } => self.loads.get(load) == Some(&true),
            Order::Unload { load } => self.loads.get(load) == Some(&false),
            Order::Role { role } => self.role == Some(*role),
        }
    }

    /// Returns the prefix of an engine's versions.
    pub fn prefix(endpoint: &EndpointId) -> String {
        format!("{ORDER_PREFIX}{endpoint}/")
    }

    /// Returns the platform key of a version; keys sort in the order of the versions.
    pub fn key(endpoint: &EndpointId, version: u64) -> String {
        format!("{ORDER_PREFIX}{endpoint}/{version:09}")
    }

    /// Returns the engine that a key names.
    pub fn endpoint(key: &str) -> Option<EndpointId> {
        let rest = key.strip_prefix(ORDER_PREFIX)?;
        EndpointId::new(rest.split('/').next()?).ok()
    }
}
