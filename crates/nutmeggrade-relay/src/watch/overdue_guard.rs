//! Marks the store as overdue while a response is late.

use nutmeggrade_wire::kinds::Kind;

use crate::node::Node;
use crate::watch::read_state::KindState;

/// Marks a response of the store as overdue until dropped.
#[derive(Debug)]
pub struct OverdueGuard<'a>(&'a KindState);

impl<'a> OverdueGuard<'a> {
    /// Sets the mark and wakes the engine poller.
    pub fn set(node: &'a Node, kind: Kind) -> Self {
        let state = node.read_state.of(kind);
        state.set_overdue(true);
        tracing::info!(event = "store_overdue", kind = kind.name());
        node.read_state.response_overdue.notify_one();
        Self(state)
    }
}

impl Drop for OverdueGuard<'_> {
    fn drop(&mut self) {
        self.0.set_overdue(false);
    }
}
