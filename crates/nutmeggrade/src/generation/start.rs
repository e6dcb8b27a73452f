//! Getting a generation to its first token.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use nutmeggrade_core::engine::{Generate, Token};
use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::{Ask, End};
use tokio::time::{sleep, timeout};

use super::{Completion, Placement, SEAT_PAUSE, Session, admit};
use crate::engine_client::{EngineError, Tokens};
use crate::front::Caller;
use crate::node::Node;
use crate::tables::lock;

/// Engines that one request is tried on.
const ATTEMPTS: u32 = 3;

/// Starts a generation and waits for its first token.
///
/// Until a token reached the caller a failed engine costs nothing but time: the request starts again
/// elsewhere as a new generation. After it, it never does.
pub async fn start<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    completion: &Completion,
    long: bool,
) -> Result<Session<P>, Failure> {
    let mut ask = Ask {
        ticket: node.ticket(),
        workspace: caller.workspace.clone(),
        task: caller.task.clone(),
        long,
        model: completion.model.clone(),
        prompt: completion.prompt_tokens(),
        max_tokens: completion.max_tokens,
        prefix: completion.prefix(),
        deadline: caller.deadline,
        avoid: BTreeSet::new(),
    };
    lock(&node.tables.retries).fresh();
    let mut attempts = 0;
    while attempts < ATTEMPTS {
        ask.ticket = node.ticket();
        let asked = node.now();
        let admitted = admit(node, &ask).await;
        node.note_admission(&caller.request, &ask, asked, &admitted);
        let mut placement = admitted?;
        let endpoint = placement.endpoint.clone();
        match attempt(node, caller, completion, &placement).await {
            Ok((address, tokens, first)) => {
                let generation = first.generation;
                let place = format!("endpoint={endpoint} generation={generation}");
                node.note(&caller.request, "first_token", &place);
                return Ok(Session::new(node, caller, &completion.model, &endpoint, address)
                    .with_generation(first.generation, 0)
                    .with_tokens(tokens)
                    .with_first(first)
                    .with_placement(placement));
            }
            // Nothing was sent; what the load or the rights were at admission changed since.
            Err(_) if placement.seat.was_refused() => {
                drop(placement);
                sleep(SEAT_PAUSE).await;
            }
            Err(error) => {
                attempts += 1;
                tracing::warn!(
                    event = "attempt_failed",
                    request = %caller.request,
                    endpoint = %endpoint,
                    error = format!("{error:#}")
                );
                let why = format!("endpoint={endpoint} error={error:#}");
                node.note(&caller.request, "attempt_failed", &why);
                placement.set_end(End::Failed);
                ask.avoid.insert(endpoint);
                // A failed attempt holds no place while it waits to be repeated.
                drop(placement);
                if attempts < ATTEMPTS && !node.may_retry(attempts, caller.deadline).await {
                    break;
                }
            }
        }
        if caller.deadline <= node.now() {
            break;
        }
    }
    let late = caller.deadline <= node.now();
    let code = if late { Code::DeadlinePassed } else { Code::EndpointFailed };
    let failure = Failure::new(code, "no engine brought a first token").with_run(Run::Unknown);
    Err(failure.with_retry_after(node.settings.silence))
}

async fn attempt<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    completion: &Completion,
    placement: &Placement<P>,
) -> anyhow::Result<(SocketAddr, Tokens, Token)> {
    let address = address(node, &placement.endpoint).context("endpoint vanished")?;
    let order = Generate {
        generation: GenerationId::new(rand::random()),
        model: completion.model.clone(),
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens,
        priority: placement.priority,
    };
    let left = caller.deadline.since(node.now());
    let may_send = || Ok(placement.seat.take()?);
    let exchange = async {
        let mut tokens = node.engines.start(address, &order, may_send).await?;
        let first = tokens.next().await?.context("stream ended before its first token")?;
        anyhow::ensure!(first.generation == order.generation, "crossed answer");
        placement.seat.note_started();
        anyhow::Ok((address, tokens, first))
    };
    let result = timeout(left, exchange).await.context("no first token before the deadline");
    let result = result.and_then(|r| r);
    if result.is_err() {
        give_up(node, address, order.generation);
    }
    result
}

/// Cancels a generation that nobody will read, so that it frees the engine's memory.
fn give_up<P: Platform>(node: &Arc<Node<P>>, address: SocketAddr, generation: GenerationId) {
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let cancel = node.engines.cancel(address, generation);
        if timeout(node.settings.connect, cancel).await.is_err() {
            tracing::debug!(event = "cancel_failed", %generation);
        }
    });
}

/// Takes up a generation that the caller has up to an event.
pub async fn resume<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    model: &ModelId,
    last: &EventId,
) -> Result<Session<P>, Failure> {
    let gone = || Failure::new(Code::GenerationGone, "the generation is gone").with_run(Run::Ran);
    let address = address(node, &last.endpoint).ok_or_else(gone)?;
    let from = last.offset + 1;
    match node.engines.resume(address, last.generation, from).await {
        Ok(tokens) => {
            node.metrics.resumes.inc();
            let place = format!("endpoint={} next={from}", last.endpoint);
            node.note(&caller.request, "taken_up", &place);
            Ok(Session::new(node, caller, model, &last.endpoint, address)
                .with_generation(last.generation, from)
                .with_tokens(tokens))
        }
        Err(EngineError::Gone) => Err(gone()),
        Err(EngineError::Failed(error)) => {
            let detail = format!("the engine can't be reached: {error:#}");
            let failure = Failure::new(Code::EndpointFailed, &detail).with_run(Run::Ran);
            Err(failure.with_retry_after(node.settings.silence))
        }
    }
}

fn address<P: Platform>(node: &Node<P>, endpoint: &EndpointId) -> Option<SocketAddr> {
    lock(&node.tables.endpoints).get(endpoint).map(|e| e.address)
}
