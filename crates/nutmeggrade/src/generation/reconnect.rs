//! Resumes a broken stream at its engine.

use std::net::SocketAddr;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::time::{sleep, timeout};

use crate::engine_client::{ResumeError, Tokens};
use crate::node::Node;

/// Initial delay between attempts; doubles after each one.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Reason why a stream can't be resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReconnectError {
    /// The engine responds, but no longer has the generation.
    Gone,
    /// The request to the engine failed.
    Unreachable,
    /// The engine did not respond in time, or the deadline passed.
    Stalled,
}

impl ReconnectError {
    /// Returns whether the error suggests that the engine crashed.
    pub const fn is_crash(self) -> bool {
        matches!(self, Self::Gone | Self::Unreachable)
    }
}

/// Requests the tokens from offset `next` on, in up to `max_attempts` attempts.
pub async fn reconnect<P: Platform>(
    node: &Node<P>,
    address: SocketAddr,
    generation: GenerationId,
    next: u64,
    max_attempts: u32,
    deadline: Moment,
) -> Result<Tokens, ReconnectError> {
    let mut delay = INITIAL_DELAY;
    let mut last_error = ReconnectError::Stalled;
    for _ in 0..max_attempts {
        node.metrics.resumes.inc();
        let remaining = deadline.since(node.now());
        if remaining.is_zero() {
            return Err(ReconnectError::Stalled);
        }
        let request = node.engines.resume(address, generation, next);
        last_error = match timeout(node.settings.stall.min(remaining), request).await {
            Ok(Ok(tokens)) => return Ok(tokens),
            Ok(Err(ResumeError::Gone)) => return Err(ReconnectError::Gone),
            Ok(Err(ResumeError::Failed(_))) => ReconnectError::Unreachable,
            Err(_) => ReconnectError::Stalled,
        };
        sleep(delay.min(remaining)).await;
        delay *= 2;
    }
    Err(last_error)
}
