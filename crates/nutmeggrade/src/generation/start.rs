//! Getting a generation to its first token.

use std::collections::BTreeSet;
use std::sync::Arc;

use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::GenerationRequest;
use tokio::time::sleep;

use super::attempt::{Broken, attempt};
use super::{Completion, Lost, SLOT_PAUSE, Session, Trial, admit, reconnect};
use crate::caller::Caller;
use crate::node::Node;
use crate::tables::lock;

/// Engines that one request is tried on.
const ATTEMPTS: u32 = 3;
/// Attempts to reach the engine of a caller that resumes.
const RESUMES: u32 = 3;

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
    let mut tally = Tally { count: 0, run: Run::NotRun, why: String::new() };
    let mut trial = Trial::new(node, caller, completion);
    lock(&node.tables.retries).fresh();
    while tally.count < ATTEMPTS {
        ask.ticket = node.ticket();
        let told = |f: Failure| f.with_run(tally.run);
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
                trial = back;
                trial.end();
                note_broken(node, caller, &endpoint, &broken);
                tally.add(broken);
                ask.avoid.insert(endpoint);
                let more = tally.count < ATTEMPTS;
                if more && !node.may_retry(tally.count, caller.deadline).await {
                    break;
                }
            }
        }
        if caller.deadline <= node.now() {
            break;
        }
    }
    Err(tally.failure(node, caller))
}

/// What is known of the attempts so far.
struct Tally {
    count: u32,
    run: Run,
    why: String,
}

impl Tally {
    fn add(&mut self, broken: Broken) {
        self.count += 1;
        self.run = both(self.run, broken.run);
        self.why = broken.why;
    }

    fn failure<P: Platform>(&self, node: &Node<P>, caller: &Caller) -> Failure {
        let late = caller.deadline <= node.now();
        let code = if late { Code::DeadlinePassed } else { Code::EndpointFailed };
        let detail = format!("no engine brought a first token: {}", self.why);
        let failure = Failure::new(code, &detail).with_run(self.run);
        failure.with_retry_after(node.settings.silence)
    }
}

fn note_broken<P: Platform>(
    node: &Node<P>,
    caller: &Caller,
    endpoint: &EndpointId,
    broken: &Broken,
) {
    tracing::warn!(
        event = "attempt_failed",
        request = %caller.request,
        %endpoint,
        run = broken.run.as_str(),
        error = broken.why
    );
    let detail = format!("endpoint={endpoint} error={}", broken.why);
    node.note(&caller.request, "attempt_failed", &detail);
}

fn ask<P: Platform>(
    node: &Node<P>,
    caller: &Caller,
    completion: &Completion,
    long: bool,
) -> GenerationRequest {
    GenerationRequest {
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
