//! One way into the store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What a door does with calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Lets them in.
    #[default]
    None,
    /// Turns them away.
    Refuse,
    /// Never answers, and lets waiting watches wait for ever.
    Silent,
    /// Answers after this time.
    Slow(Duration),
    /// Does what is asked and closes the connection without an answer.
    Lost,
}

/// One way into the store: an address of its own with a fault of its own, so that the store can turn
/// away some instances and serve the others.
#[derive(Debug, Clone)]
pub struct Door {
    /// Where it is.
    pub address: SocketAddr,
    fault: Arc<Mutex<Fault>>,
}

impl Door {
    /// Makes a door without a fault.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, fault: Arc::default() }
    }

    /// Sets the fault.
    pub fn set(&self, fault: Fault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Returns the fault.
    pub fn fault(&self) -> Fault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
