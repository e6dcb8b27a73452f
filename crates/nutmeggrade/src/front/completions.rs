//! `POST /v1/completions`: generations, streamed or in one response.

use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use nutmeggrade_core::event_id::EventId;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::intake::MemoryFull;
use nutmeggrade_relay::intake::ConnectionMemory;
use serde_json::json;
use viz::types::{Event, Sse};
use viz::{IntoResponse, Request, Response};

use super::{body, entries, reply};
use crate::caller::{self, Caller};
use crate::generation::{Chunk, Completion, Session, SessionEvent, full_response, resume, start};
use crate::node::{Node, Phase};
use crate::tables::lock;

const PATH: &str = "completions";
const LAST_EVENT_HEADER: &str = "last-event-id";
/// Memory of each byte of a text: its buffer doubles when it grows, and is copied into the response.
const TEXT_FACTOR: usize = 4;
const END_OF_STREAM: &str = "[DONE]";

/// Handles one completion request.
pub async fn post<P: Platform>(mut req: Request) -> reply::Reply {
    let node = super::node::<P>(&req)?;
    caller::ensure_request_id(req.headers_mut());
    let result = match body::read(&node, &mut req, node.settings.max_body()).await {
        Ok(body) => complete(&node, &req, body).await,
        Err(failure) => Err(failure),
    };
    let code = reply::result_code(&result);
    node.metrics.requests.with_label_values(&[PATH, &code.to_string()]).inc();
    let request = caller::request(req.headers()).ok();
    if let Err(f) = &result {
        let workspace = caller::header_text(req.headers(), caller::WORKSPACE_HEADER).unwrap_or("");
        let detail = format!("path={PATH} run={} {}", f.run.as_str(), f.detail);
        if let Some(request) = &request {
            node.record_end(request, workspace, code, &detail);
        }
    }
    let response = result.unwrap_or_else(|f| super::failure(&f));
    Ok(reply::with_request(response, request.as_ref()))
}

async fn complete<P: Platform>(
    node: &Arc<Node<P>>,
    req: &Request,
    body: Bytes,
) -> Result<Response, Failure> {
    let headers = req.headers();
    caller::workspace(headers)?;
    let mut completion = Completion::parse(&body)?;
    drop(body);
    // The prompt is encoded once more for the engine.
    body::hold(node, req, completion.prompt.len())?;
    let config = lock(&node.tables.config).current();
    let preset = config.as_ref().and_then(|c| c.preset());
    let Some(preset) = preset else {
        return Err(node
            .check_ready()
            .err()
            .unwrap_or_else(|| Failure::new(Code::NotReady, "no preset in force")));
    };
    let Some(model) = preset.models.get(&completion.model) else {
        let detail = format!("no model {}", completion.model);
        return Err(Failure::new(Code::UnknownModel, &detail));
    };
    let (task, class) = select_task(preset, headers)?;
    completion.max_tokens = completion.max_tokens.min(class.max_tokens);
    if completion.prompt_tokens() >= model.context {
        return Err(Failure::new(
            Code::OutOfRange,
            "the prompt is longer than the model's context",
        ));
    }
    let caller = Caller::read(headers, &task, class.deadline, node.now())?;
    let session = if let Some(text) = caller::header_text(headers, LAST_EVENT_HEADER) {
        let Some(last) = EventId::open(text, &caller.workspace, &node.event_key) else {
            return Err(Failure::new(Code::BadEventId, "the last event id is not valid here"));
        };
        resume(node, &caller, &completion, &last).await?
    } else {
        node.check_ready()?;
        tokio::select! {
            started = start(node, &caller, &completion, class.long) => started?,
            failure = shutdown_failure(node) => return Err(failure),
        }
    };
    if completion.stream {
        Ok(stream_response(session))
    } else {
        full_completion(session, &body::memory(req)?).await
    }
}

/// Waits until a planned stop ends waiting requests, and returns their failure.
async fn shutdown_failure<P: Platform>(node: &Node<P>) -> Failure {
    // The wait can't fail: the sender is a field of the node.
    drop(node.watch_phase().wait_for(|p| *p >= Phase::Closing).await);
    let failure = Failure::new(Code::Leaving, "this instance stopped; ask another");
    failure.with_run(RunStatus::Unknown).with_retry_after(node.settings.beacon)
}

fn select_task<'a>(
    preset: &'a Preset,
    headers: &http::HeaderMap,
) -> Result<(TaskId, &'a nutmeggrade_core::config::TaskClass), Failure> {
    let found = match caller::header_text(headers, caller::TASK_HEADER) {
        Some(name) => preset.tasks.iter().find(|(id, _)| id.as_str() == name),
        None => preset.tasks.iter().next(),
    };
    let (id, class) = found.ok_or_else(|| {
        let known: Vec<_> = preset.tasks.keys().map(TaskId::as_str).collect();
        let detail = format!("{} must be one of: {}", caller::TASK_HEADER, known.join(", "));
        Failure::new(Code::UnknownTask, &detail)
    })?;
    Ok((id.clone(), class))
}

fn stream_response<P: Platform>(session: Session<P>) -> Response {
    let events = stream::unfold(Some(session), |session| async {
        let mut session = session?;
        let Some(item) = session.next().await else {
            return Some((Event::default().data(END_OF_STREAM), None));
        };
        let (event, has_more) = match item {
            SessionEvent::Token(token) => (token_event(&session, &token), true),
            SessionEvent::Failed(failure) => (failure_event(&session, &failure), false),
            SessionEvent::Moved => (moved_event(&session), false),
        };
        Some((event, has_more.then_some(session)))
    });
    Sse::new(events).into_response()
}

fn token_event<P: Platform>(
    session: &Session<P>,
    token: &nutmeggrade_core::engine::Token,
) -> Event {
    let chunk = Chunk::new(&session.model, token);
    let data = serde_json::to_string(&chunk).unwrap_or_default();
    Event::default().id(session.event_id(token)).data(data)
}

fn failure_event<P: Platform>(session: &Session<P>, failure: &Failure) -> Event {
    tracing::warn!(
        event = "stream_failed",
        request = %session.request,
        code = failure.code.number(),
        detail = failure.detail
    );
    Event::default().event("error").data(serde_json::to_string(failure).unwrap_or_default())
}

/// Creates the event that refers a caller to other entries, where it can resume.
fn moved_event<P: Platform>(session: &Session<P>) -> Event {
    let node = session.node();
    let entries = entries::list(node);
    let other_entries = entries.iter().filter(|e| e.instance != node.entry.instance);
    let addresses: Vec<_> = other_entries.map(|e| e.caller_address).collect();
    Event::default().event("moved").data(json!({ "entries": addresses }).to_string())
}

async fn full_completion<P: Platform>(
    mut session: Session<P>,
    memory: &ConnectionMemory,
) -> Result<Response, Failure> {
    let mut text = String::new();
    let mut finish = None;
    while let Some(item) = session.next().await {
        match item {
            SessionEvent::Token(token) => {
                hold_token(memory, &token)?;
                text.push_str(&token.text);
                finish = token.finish;
            }
            SessionEvent::Failed(failure) => return Err(failure),
            SessionEvent::Moved => {
                let failure = Failure::new(Code::Leaving, "this instance stopped; ask another");
                let delay = session.node().settings.beacon;
                return Err(failure.with_run(RunStatus::Ran).with_retry_after(delay));
            }
        }
    }
    Ok(super::json(&full_response(&session.model, session.generation(), &text, finish)))
}

/// Accounts for a token of a response that is sent in one piece. An engine may send tokens without end.
fn hold_token(
    memory: &ConnectionMemory,
    token: &nutmeggrade_core::engine::Token,
) -> Result<(), Failure> {
    let full = |error: MemoryFull| {
        Failure::new(Code::StreamLost, &error.to_string()).with_run(RunStatus::Ran)
    };
    memory.grow(token.text.len() * TEXT_FACTOR, "response").map_err(full)
}
