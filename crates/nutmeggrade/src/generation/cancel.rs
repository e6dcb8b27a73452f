//! Cancels abandoned generations.

use std::net::SocketAddr;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::time::timeout;

use crate::node::Node;

/// Cancels a generation that has no reader, to free the engine's memory.
pub fn cancel<P: Platform>(node: &Arc<Node<P>>, address: SocketAddr, generation: GenerationId) {
    node.metrics.cancels.inc();
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let result = timeout(node.settings.stall, node.engines.cancel(address, generation)).await;
        if !matches!(result, Ok(Ok(()))) {
            tracing::debug!(event = "cancel_failed", %generation, %address);
        }
    });
}
