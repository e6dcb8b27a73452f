//! A listener of the store with its own fault setting.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

/// How a store listener handles calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Handles calls normally.
    #[default]
    None,
    /// Responds with 503.
    Refuse,
    /// Never responds, also not to watches that are already waiting.
    Silent,
    /// Responds after this delay.
    Slow(Duration),
    /// Responds to watches after this delay for each change that the response holds.
    SlowChanges(Duration),
    /// Responds at once, and sends so many bytes a second.
    Throttled(usize),
    /// Never responds to later watches; handles other calls.
    SilentWatches,
    /// Closes the connection without a response.
    DropResponse,
}

/// A listener of the store with its own address and fault, so that the store can fail for some
/// instances and serve the others.
#[derive(Debug, Clone)]
pub struct StoreListener {
    /// Address on which it listens.
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
    /// By kind of object: how often the responses of all waiting calls were lost.
    losses: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Endpoints' addresses that are listed differently here.
    addresses: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
}

impl StoreListener {
    /// Creates the handle of a listener, without a fault.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, fault: Arc::default(), losses: Arc::default(), addresses: Arc::default() }
    }

    /// Sets the fault for later calls.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the current fault.
    pub fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Loses the responses of all calls about these kinds that wait now: their connections stay open
    /// and carry nothing more. Later calls are handled.
    pub fn lose_waiting(&self, kinds: &[&str]) {
        let mut losses = self.losses.lock().unwrap_or_else(PoisonError::into_inner);
        for kind in kinds {
            *losses.entry((*kind).to_owned()).or_default() += 1;
        }
    }

    /// Returns how often the responses of waiting calls about a kind were lost.
    pub(super) fn losses(&self, kind: &str) -> u64 {
        let losses = self.losses.lock().unwrap_or_else(PoisonError::into_inner);
        losses.get(kind).copied().unwrap_or_default()
    }

    /// Lists an endpoint under another address, such as that of a proxy, so that its links fail for
    /// the instances that read here and for no others.
    pub fn list_as(&self, endpoint: SocketAddr, address: SocketAddr) {
        self.addresses().insert(endpoint.to_string(), address);
    }

    /// Replaces the addresses of endpoints in the body of a response.
    pub(super) fn replace_addresses(&self, body: &mut Value) {
        let addresses = self.addresses();
        if addresses.is_empty() {
            return;
        }
        for list in ["entries", "events"] {
            for entry in body[list].as_array_mut().into_iter().flatten() {
                let object = if list == "events" { &mut entry["resource_object"] } else { entry };
                let Some(listed) = object.pointer_mut("/specification/address") else { continue };
                if let Some(address) = listed.as_str().and_then(|a| addresses.get(a)) {
                    *listed = json!(address);
                }
            }
        }
    }

    fn addresses(&self) -> MutexGuard<'_, BTreeMap<String, SocketAddr>> {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
