//! Taking a broken stream up again at its engine.

use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::time::{sleep, timeout};

use crate::engine_client::{EngineError, Tokens};
use crate::node::Node;

/// First pause between attempts; it doubles.
const PAUSE: Duration = Duration::from_millis(50);

/// Why a stream can't be taken up again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lost {
    /// The engine answers, but no longer knows the generation.
    Gone,
    /// No connection to the engine is made.
    Unreachable,
    /// The engine stands still, or the deadline passed.
    Stalled,
}

impl Lost {
    /// Says whether the engine must have crashed, so far as one can tell from here.
    pub const fn is_crash(self) -> bool {
        matches!(self, Self::Gone | Self::Unreachable)
    }
}

/// Asks the engine for the tokens from `next` on, up to `tries` times.
pub async fn reconnect<P: Platform>(
    node: &Node<P>,
    address: SocketAddr,
    generation: GenerationId,
    next: u64,
    tries: u32,
    deadline: Moment,
) -> Result<Tokens, Lost> {
    let mut pause = PAUSE;
    let mut lost = Lost::Stalled;
    for _ in 0..tries {
        node.metrics.resumes.inc();
        let left = deadline.since(node.now());
        if left.is_zero() {
            return Err(Lost::Stalled);
        }
        let resumed = node.engines.resume(address, generation, next);
        lost = match timeout(node.settings.stall.min(left), resumed).await {
            Ok(Ok(tokens)) => return Ok(tokens),
            Ok(Err(EngineError::Gone)) => return Err(Lost::Gone),
            Ok(Err(EngineError::Failed(_))) => Lost::Unreachable,
            Err(_) => Lost::Stalled,
        };
        sleep(pause.min(left)).await;
        pause *= 2;
    }
    Err(lost)
}
