//! Cancelling what nobody reads.

use std::net::SocketAddr;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::time::timeout;

use crate::node::Node;

/// Cancels a generation that nobody will read, so that it frees the engine's memory.
pub fn cancel<P: Platform>(node: &Arc<Node<P>>, address: SocketAddr, generation: GenerationId) {
    node.metrics.cancels.inc();
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let ended = timeout(node.settings.stall, node.engines.cancel(address, generation)).await;
        if !matches!(ended, Ok(Ok(()))) {
            tracing::debug!(event = "cancel_failed", %generation, %address);
        }
    });
}
