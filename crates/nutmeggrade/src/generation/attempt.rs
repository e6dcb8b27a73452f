//! One attempt at a first token, on one engine.

use std::net::SocketAddr;
use std::sync::Arc;

use nutmeggrade_core::engine::GenerateRequest;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::End;
use tokio::time::timeout;

use super::{Completion, Placement, Session, Trial, cancel};
use crate::caller::Caller;
use crate::engine_client::{StartError, Tokens};
use crate::node::Node;
use crate::tables::lock;

/// Why an attempt brought no first token.
pub(super) struct Broken {
    /// What is known of the run.
    pub run: Run,
    /// What happened, in words.
    pub why: String,
    /// Nothing was sent, because the engine had no slot left.
    pub slot_refused: bool,
}

impl Broken {
    fn new(run: Run, why: &str) -> Self {
        Self { run, why: why.to_owned(), slot_refused: false }
    }
}

/// Cancels a generation unless a session took it over.
///
/// A caller that leaves before the first token ends this request's task at any await, and the engine
/// would go on for nobody. Without an event id nobody can resume it, so no grace is due.
struct Started<P: Platform> {
    node: Arc<Node<P>>,
    address: SocketAddr,
    generation: GenerationId,
    armed: bool,
}

impl<P: Platform> Drop for Started<P> {
    fn drop(&mut self) {
        if self.armed {
            cancel(&self.node, self.address, self.generation);
        }
    }
}

/// Runs a request on the engine of its placement up to the first token; gives the trial back if that
/// can't be done.
pub(super) async fn attempt<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    completion: &Completion,
    mut placement: Placement<P>,
    trial: Trial<P>,
) -> Result<Session<P>, (Broken, Trial<P>)> {
    let endpoint = placement.endpoint.clone();
    let Some(address) = address(node, &endpoint) else {
        placement.set_end(End::Failed);
        return Err((Broken::new(Run::NotRun, "the engine left the list"), trial));
    };
    let order = GenerateRequest {
        generation: GenerationId::new(rand::random()),
        model: completion.model.clone(),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens,
        priority: placement.priority,
    };
    match hand_over(node, caller, address, &order, &placement).await {
        Ok(tokens) => {
            let mut session = Session::new(node, caller, &completion.model, &endpoint, address)
                .with_generation(order.generation, 0)
                .with_resumable(completion.stream)
                .with_placement(placement)
                .with_trial(trial);
            if let Some(tokens) = tokens {
                session = session.with_tokens(tokens);
            }
            session
                .first()
                .await
                .map_err(|(failure, trial)| (Broken::new(failure.run, &failure.detail), trial))
        }
        Err(mut broken) => {
            broken.slot_refused = placement.slot.was_refused();
            if !broken.slot_refused {
                placement.set_end(End::Failed);
            }
            Err((broken, trial))
        }
    }
}

/// Hands the order over; without tokens the head of the answer was lost, and the session asks the
/// engine whether it has the generation.
async fn hand_over<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    address: SocketAddr,
    order: &GenerateRequest,
    placement: &Placement<P>,
) -> Result<Option<Tokens>, Broken> {
    let generation = order.generation;
    let mut started = Started { node: Arc::clone(node), address, generation, armed: true };
    let wait = node.settings.stall.min(caller.deadline.since(node.now()));
    let may_send = || Ok(placement.slot.take()?);
    let ended = timeout(wait, node.engines.start(address, order, may_send)).await;
    started.armed = !matches!(ended, Ok(Ok(_) | Err(StartError::NotRun(_))));
    match ended {
        Ok(Ok(tokens)) => Ok(Some(tokens)),
        Ok(Err(StartError::NotRun(error))) => Err(Broken::new(Run::NotRun, &format!("{error:#}"))),
        Ok(Err(StartError::Unknown(_))) => {
            started.armed = false;
            Ok(None)
        }
        Err(_) => Err(Broken::new(Run::Unknown, "the engine did not answer")),
    }
}

fn address<P: Platform>(node: &Node<P>, endpoint: &EndpointId) -> Option<SocketAddr> {
    lock(&node.tables.endpoints).get(endpoint).map(|e| e.address)
}
