//! A generation's slot on its endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::cold_load::SlotId;

use crate::node::Node;
use crate::tables::lock;

/// Delay after a refused slot: about the interval between load reports of the endpoints.
pub const SLOT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A slot that counts toward a cold endpoint's limit; released on drop.
#[derive(Debug)]
pub struct SlotGuard<P: Platform> {
    node: Arc<Node<P>>,
    endpoint: EndpointId,
    slot: SlotId,
    refused: AtomicBool,
}

impl<P: Platform> SlotGuard<P> {
    /// Creates a guard that holds no slot yet.
    pub fn new(node: &Arc<Node<P>>, endpoint: &EndpointId, slot: SlotId) -> Self {
        Self {
            node: Arc::clone(node),
            endpoint: endpoint.clone(),
            slot,
            refused: AtomicBool::new(false),
        }
    }

    /// Checks that sending is allowed and acquires the slot, immediately before the first byte is
    /// sent.
    pub fn acquire(&self) -> Result<(), Failure> {
        let result = self.try_acquire();
        self.refused.store(result.is_err(), Ordering::Relaxed);
        result
    }

    /// Returns whether the last acquisition failed, so that nothing was sent.
    pub fn was_refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    fn try_acquire(&self) -> Result<(), Failure> {
        self.node.may_send(&self.endpoint)?;
        let now = self.node.now();
        let taken = lock(&self.node.tables.rights).take_slot(&self.endpoint, self.slot, now);
        if taken {
            return Ok(());
        }
        let detail = "the endpoint is cold and bears no more, or another instance owns it";
        Err(Failure::new(Code::NoEndpoint, detail).with_retry_after(SLOT_RETRY_DELAY))
    }

    /// Records the first token.
    pub fn record_first_token(&self) {
        let now = self.node.now();
        lock(&self.node.tables.rights).note_started(&self.endpoint, self.slot, now);
    }
}

impl<P: Platform> Drop for SlotGuard<P> {
    fn drop(&mut self) {
        let now = self.node.now();
        lock(&self.node.tables.rights).leave_slot(&self.endpoint, self.slot, now);
    }
}
