//! Construction of a session.

use std::net::SocketAddr;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::delivery::Delivery;

use super::Session;
use crate::caller::Caller;
use crate::engine_client::Tokens;
use crate::generation::{Placement, SuspectGuard};
use crate::node::Node;

impl<P: Platform> Session<P> {
    /// Opens a session for a generation on an engine.
    pub fn new(
        node: &Arc<Node<P>>,
        caller: &Caller,
        model: &ModelId,
        endpoint: &EndpointId,
        address: SocketAddr,
    ) -> Self {
        node.metrics.streams.inc();
        Self {
            node: Arc::clone(node),
            placement: None,
            suspect_guard: None,
            workspace: caller.workspace.clone(),
            request: caller.request.clone(),
            model: model.clone(),
            endpoint: endpoint.clone(),
            address,
            delivery: Delivery::new(GenerationId::new([0; 16])),
            tokens: None,
            pending_event: None,
            deadline: caller.deadline,
            phase: node.watch_phase(),
            last_progress: node.now(),
            idle_resumes: 0,
            resumable: false,
            ending: None,
            code: None,
        }
    }

    /// Sets the generation and the offset of the next token.
    #[must_use]
    pub fn with_generation(mut self, generation: GenerationId, next: u64) -> Self {
        self.delivery = Delivery::new(generation).with_next(next);
        self
    }

    /// Sets the engine's token stream.
    #[must_use]
    pub fn with_tokens(mut self, tokens: Tokens) -> Self {
        self.tokens = Some(tokens);
        self
    }

    /// Sets whether the caller receives event ids, with which it can resume.
    #[must_use]
    pub fn with_resumable(mut self, resumable: bool) -> Self {
        self.resumable = resumable;
        self
    }

    /// Marks the response as complete: the caller already has the last token.
    #[must_use]
    pub fn with_ended(mut self) -> Self {
        self.delivery.end();
        self
    }

    /// Sets the request's placement by the scheduler.
    #[must_use]
    pub fn with_placement(mut self, placement: Placement<P>) -> Self {
        self.placement = Some(placement);
        self
    }

    /// Sets the request's guard in the table of crash suspects.
    #[must_use]
    pub fn with_suspect_guard(mut self, suspect_guard: SuspectGuard<P>) -> Self {
        self.suspect_guard = Some(suspect_guard);
        self
    }
}
