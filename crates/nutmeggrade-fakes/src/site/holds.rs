//! Leases on the capacity of a simulated engine.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::Value;

/// How a simulated engine answers a request for a lease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HoldBehaviour {
    /// Grants it.
    #[default]
    Grant,
    /// Refuses it, as there is no free capacity.
    Refuse,
    /// Doesn't know the call.
    Unknown,
    /// Grants it with a response that names no lease.
    Malformed,
    /// Never answers.
    Hang,
    /// Grants it, and crashes after the answer.
    Crash,
}

/// Leases on the capacity of a simulated engine, with a record of the calls.
#[derive(Debug, Clone, Default)]
pub struct Holds {
    /// How it answers a request for a lease.
    pub behaviour: HoldBehaviour,
    /// Time after which it answers.
    pub delay: Duration,
    /// Bodies of the requests for leases.
    pub calls: Vec<Value>,
    /// Leases that were released.
    pub released: Vec<String>,
    /// Leases that requests used.
    pub used: Vec<String>,
    open: BTreeSet<String>,
}

impl Holds {
    /// Returns the number of leases that are granted and neither used nor released.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Grants a lease; returns its id.
    pub(super) fn grant(&mut self) -> String {
        let id = format!("lease-{}", self.calls.len());
        self.open.insert(id.clone());
        id
    }

    /// Releases a lease; returns whether it was open.
    pub(super) fn release(&mut self, id: &str) -> bool {
        self.released.push(id.to_owned());
        self.open.remove(id)
    }

    /// Records that a request names a lease.
    pub(super) fn use_lease(&mut self, id: &str) {
        self.used.push(id.to_owned());
        self.open.remove(id);
    }
}
