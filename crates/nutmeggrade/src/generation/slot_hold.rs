//! A generation's place on its endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::cold_load::Slot;

use crate::node::Node;
use crate::tables::lock;

/// Pause after a place was refused: about one look at the endpoints' load.
pub const SLOT_PAUSE: Duration = Duration::from_millis(100);

/// A place counted against what the endpoint bears while cold; given back when it is dropped.
#[derive(Debug)]
pub struct SlotHold<P: Platform> {
    node: Arc<Node<P>>,
    endpoint: EndpointId,
    slot: Slot,
    refused: AtomicBool,
}

impl<P: Platform> SlotHold<P> {
    /// Makes a hold that has no place yet.
    pub fn new(node: &Arc<Node<P>>, endpoint: &EndpointId, slot: Slot) -> Self {
        Self {
            node: Arc::clone(node),
            endpoint: endpoint.clone(),
            slot,
            refused: AtomicBool::new(false),
        }
    }

    /// Checks every right to send and takes the place, immediately before the first byte goes out.
    pub fn take(&self) -> Result<(), Failure> {
        let taken = self.check();
        self.refused.store(taken.is_err(), Ordering::Relaxed);
        taken
    }

    /// Says whether the last check refused, so that nothing was sent.
    pub fn was_refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }

    fn check(&self) -> Result<(), Failure> {
        self.node.may_send(&self.endpoint)?;
        let now = self.node.now();
        let taken = lock(&self.node.tables.rights).take_slot(&self.endpoint, self.slot, now);
        if taken {
            return Ok(());
        }
        let detail = "the endpoint is cold and bears no more, or another instance owns it";
        Err(Failure::new(Code::NoEndpoint, detail).with_retry_after(SLOT_PAUSE))
    }

    /// Notes the first token.
    pub fn note_started(&self) {
        let now = self.node.now();
        lock(&self.node.tables.rights).note_started(&self.endpoint, self.slot, now);
    }
}

impl<P: Platform> Drop for SlotHold<P> {
    fn drop(&mut self) {
        let now = self.node.now();
        lock(&self.node.tables.rights).leave_slot(&self.endpoint, self.slot, now);
    }
}
