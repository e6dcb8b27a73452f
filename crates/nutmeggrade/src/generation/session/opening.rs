//! How a session is opened.

use std::net::SocketAddr;
use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::delivery::Delivery;

use super::Session;
use crate::caller::Caller;
use crate::engine_client::Tokens;
use crate::generation::{Placement, Trial};
use crate::node::Node;

impl<P: Platform> Session<P> {
    /// Opens an answer of a generation on an engine.
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
            trial: None,
            workspace: caller.workspace.clone(),
            request: caller.request.clone(),
            model: model.clone(),
            endpoint: endpoint.clone(),
            address,
            delivery: Delivery::new(GenerationId::new([0; 16])),
            tokens: None,
            held: None,
            deadline: caller.deadline,
            phase: node.watch_phase(),
            progress: node.now(),
            fruitless: 0,
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

    /// Sets the engine's stream.
    #[must_use]
    pub fn with_tokens(mut self, tokens: Tokens) -> Self {
        self.tokens = Some(tokens);
        self
    }

    /// Sets whether the caller gets event ids to resume with.
    #[must_use]
    pub fn with_resumable(mut self, resumable: bool) -> Self {
        self.resumable = resumable;
        self
    }

    /// Marks the answer as ended: the caller has its last token.
    #[must_use]
    pub fn with_ended(mut self) -> Self {
        self.delivery.end();
        self
    }

    /// Sets the place in the scheduler.
    #[must_use]
    pub fn with_placement(mut self, placement: Placement<P>) -> Self {
        self.placement = Some(placement);
        self
    }

    /// Sets the request's pass through the suspects of crashes.
    #[must_use]
    pub fn with_trial(mut self, trial: Trial<P>) -> Self {
        self.trial = Some(trial);
        self
    }
}
