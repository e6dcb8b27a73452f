//! Getting a generation to its first token.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use nutmeggrade_core::engine::Generate;
use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::{Ask, End};
use tokio::time::{sleep, timeout};

use super::{Completion, Lost, Placement, SLOT_PAUSE, Session, Trial, admit, cancel, reconnect};
use crate::engine_client::{StartError, Tokens};
use crate::front::Caller;
use crate::node::Node;
use crate::tables::lock;

/// Engines that one request is tried on.
const ATTEMPTS: u32 = 3;
/// Attempts to reach the engine of a caller that resumes.
const RESUMES: u32 = 3;

/// Why an attempt brought no first token.
struct Broken {
    run: Run,
    why: String,
    slot_refused: bool,
}

impl Broken {
    fn new(run: Run, why: &str) -> Self {
        Self { run, why: why.to_owned(), slot_refused: false }
    }
}

/// Starts a generation and waits for its first token.
///
/// Until a token reached the caller a failed engine costs nothing but time: the request starts again
/// elsewhere as a new generation. After it, it never does. What is said of the run covers every
/// attempt: a refusal after one that may have run is no proof of "not run".
pub async fn start<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    completion: &Completion,
    long: bool,
) -> Result<Session<P>, Failure> {
    let mut ask = ask(node, caller, completion, long);
    let mut run = Run::NotRun;
    let mut why = String::new();
    let mut trial = Trial::new(node, caller, completion);
    lock(&node.tables.retries).fresh();
    let mut attempts = 0;
    while attempts < ATTEMPTS {
        ask.ticket = node.ticket();
        let told = |f: Failure| f.with_run(run);
        trial.pass(caller.deadline).await.map_err(told)?;
        let asked = node.now();
        let admitted = admit(node, &ask).await;
        node.note_admission(&caller.request, &ask, asked, &admitted);
        let placement = admitted.map_err(told)?;
        let endpoint = placement.endpoint.clone();
        match attempt(node, caller, completion, placement, trial).await {
            Ok(session) => {
                let place = format!("endpoint={endpoint} generation={}", session.generation());
                node.note(&caller.request, "first_token", &place);
                return Ok(session);
            }
            // Nothing was sent; what the load or the rights were at admission changed since.
            Err((broken, back)) if broken.slot_refused => {
                trial = back;
                trial.end();
                sleep(SLOT_PAUSE).await;
            }
            Err((broken, back)) => {
                attempts += 1;
                trial = back;
                trial.end();
                run = both(run, broken.run);
                why = broken.why;
                tracing::warn!(
                    event = "attempt_failed",
                    request = %caller.request,
                    %endpoint,
                    run = broken.run.as_str(),
                    error = why
                );
                let detail = format!("endpoint={endpoint} error={why}");
                node.note(&caller.request, "attempt_failed", &detail);
                ask.avoid.insert(endpoint);
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
    let detail = format!("no engine brought a first token: {why}");
    let failure = Failure::new(code, &detail).with_run(run);
    Err(failure.with_retry_after(node.settings.silence))
}

fn ask<P: Platform>(node: &Node<P>, caller: &Caller, completion: &Completion, long: bool) -> Ask {
    Ask {
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
    }
}

/// Joins what is known of two attempts: what surely ran goes before what may have run.
fn both(a: Run, b: Run) -> Run {
    match (a, b) {
        (Run::Ran, _) | (_, Run::Ran) => Run::Ran,
        (Run::Unknown, _) | (_, Run::Unknown) => Run::Unknown,
        (Run::NotRun, Run::NotRun) => Run::NotRun,
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

async fn attempt<P: Platform>(
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
    let order = Generate {
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
    order: &Generate,
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

/// Takes up a generation that the caller has up to an event.
pub async fn resume<P: Platform>(
    node: &Arc<Node<P>>,
    caller: &Caller,
    completion: &Completion,
    last: &EventId,
) -> Result<Session<P>, Failure> {
    let model = &completion.model;
    let gone = || Failure::new(Code::GenerationGone, "the generation is gone").with_run(Run::Ran);
    let address = lock(&node.tables.endpoints).address(&last.endpoint).ok_or_else(gone)?;
    let from = last.offset.checked_add(1).ok_or_else(gone)?;
    let session = Session::new(node, caller, model, &last.endpoint, address)
        .with_generation(last.generation, from)
        .with_trial(Trial::new(node, caller, completion))
        .with_resumable(completion.stream);
    if last.last {
        return Ok(session.with_ended());
    }
    lock(&node.tables.orphans).resume(last.generation, node.now());
    match reconnect(node, address, last.generation, from, RESUMES, caller.deadline).await {
        Ok(tokens) => {
            let place = format!("endpoint={} next={from}", last.endpoint);
            node.note(&caller.request, "taken_up", &place);
            Ok(session.with_tokens(tokens))
        }
        Err(Lost::Gone) => Err(gone()),
        Err(Lost::Unreachable | Lost::Stalled) => {
            let detail = "the engine can't be reached";
            let failure = Failure::new(Code::EndpointFailed, detail).with_run(Run::Ran);
            Err(failure.with_retry_after(node.settings.silence))
        }
    }
}

fn address<P: Platform>(node: &Node<P>, endpoint: &EndpointId) -> Option<SocketAddr> {
    lock(&node.tables.endpoints).get(endpoint).map(|e| e.address)
}
