//! One attempt to get a first token from one engine.

use std::net::SocketAddr;
use std::sync::Arc;

use nutmeggrade_core::engine::GenerateRequest;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::End;
use tokio::time::timeout;

use super::{Completion, Placement, Session, SuspectGuard, cancel};
use crate::caller::Caller;
use crate::engine_client::{StartError, Tokens};
use crate::node::Node;
use crate::tables::lock;

/// An attempt that ended before its first token.
pub(super) struct FailedAttempt {
    /// Whether the request ran.
    pub run: RunStatus,
    /// Description of the failure.
    pub reason: String,
    /// Whether nothing was sent because the engine had no free slot.
    pub slot_refused: bool,
}

impl FailedAttempt {
    fn new(run: RunStatus, reason: &str) -> Self {
        Self { run, reason: reason.to_owned(), slot_refused: false }
    }
}

/// Cancels a generation on drop unless a session took it over.
///
/// A caller that disconnects before the first token cancels this request's task at any await point,
/// and the engine would go on generating. The caller has no event id to resume with, so the
/// generation is cancelled without a grace period.
struct CancelGuard<P: Platform> {
    node: Arc<Node<P>>,
    address: SocketAddr,
    generation: GenerationId,
    armed: bool,
}

impl<P: Platform> Drop for CancelGuard<P> {
    fn drop(&mut self) {
        if self.armed {
            cancel(&self.node, self.address, self.generation);
        }
    }
}

/// Runs a request on the engine of its placement up to the first token; returns the suspect guard
/// on failure.
pub(super) async fn attempt<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    completion: &Completion,
    mut placement: Placement<P>,
    suspect_guard: SuspectGuard<P>,
) -> Result<Session<P>, (FailedAttempt, SuspectGuard<P>)> {
    let endpoint = placement.endpoint.clone();
    let Some(address) = address(node, &endpoint) else {
        placement.set_end(End::Failed);
        return Err((
            FailedAttempt::new(RunStatus::NotRun, "the engine left the list"),
            suspect_guard,
        ));
    };
    let request = GenerateRequest {
        generation: GenerationId::new(rand::random()),
        model: completion.model.clone(),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens,
        priority: placement.priority,
    };
    match send_request(node, caller, address, &request, &placement).await {
        Ok(tokens) => {
            let mut session = Session::new(node, caller, &completion.model, &endpoint, address)
                .with_generation(request.generation, 0)
                .with_resumable(completion.stream)
                .with_placement(placement)
                .with_suspect_guard(suspect_guard);
            if let Some(tokens) = tokens {
                session = session.with_tokens(tokens);
            }
            session.wait_first_token().await.map_err(|(failure, suspect_guard)| {
                (FailedAttempt::new(failure.run, &failure.detail), suspect_guard)
            })
        }
        Err(mut failed) => {
            failed.slot_refused = placement.slot.was_refused();
            if !failed.slot_refused {
                placement.set_end(End::Failed);
            }
            Err((failed, suspect_guard))
        }
    }
}

/// Sends the request. `None` means that the response head was lost: the session then queries the
/// engine for the generation.
async fn send_request<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    address: SocketAddr,
    request: &GenerateRequest,
    placement: &Placement<P>,
) -> Result<Option<Tokens>, FailedAttempt> {
    let generation = request.generation;
    let mut guard = CancelGuard { node: Arc::clone(node), address, generation, armed: true };
    let remaining = caller.deadline.since(node.now());
    let may_send = || Ok(placement.slot.acquire()?);
    let start = node.engines.start(address, request, node.settings.stall, may_send);
    let result = timeout(remaining, start).await;
    guard.armed = !matches!(result, Ok(Ok(_) | Err(StartError::NotRun(_))));
    match result {
        Ok(Ok(tokens)) => Ok(Some(tokens)),
        Ok(Err(StartError::NotRun(error))) => {
            Err(FailedAttempt::new(RunStatus::NotRun, &format!("{error:#}")))
        }
        Ok(Err(StartError::Unknown(_))) => {
            guard.armed = false;
            Ok(None)
        }
        Ok(Err(StartError::Silent)) | Err(_) => {
            Err(FailedAttempt::new(RunStatus::Unknown, "the engine did not answer"))
        }
    }
}

fn address<P: Platform>(node: &Node<P>, endpoint: &EndpointId) -> Option<SocketAddr> {
    lock(&node.tables.endpoints).get(endpoint).map(|e| e.address)
}
