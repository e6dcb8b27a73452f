//! A listener of the store with its own fault setting.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

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
}

impl StoreListener {
    /// Creates the handle of a listener, without a fault.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, fault: Arc::default() }
    }

    /// Sets the fault for later calls.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the current fault.
    pub fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
