//! Sending a call to one replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{Platform, body_bytes, call_if};
use tokio::time::timeout;

use super::{Answer, Call};
use crate::node::Node;
use crate::tables::lock;

/// Largest answer that is passed on, in bytes; it fits a platform object with room to spare.
const MAX_ANSWER: usize = 512 << 10;

/// Twice the resolution of the runtime's timers.
const TIMER_STEP: Duration = Duration::from_millis(2);

/// How one attempt at one replica ended.
#[derive(Debug)]
pub enum Attempt {
    /// The service answered.
    Answered(Answer),
    /// Proved not to have run: no connection was made, or the service refused before running it.
    NotRun(String),
    /// The call was handed over and its fate is unknown.
    Lost(String),
}

impl Attempt {
    /// Returns how it ended in one word.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not_run",
            Self::Lost(_) => "lost",
        }
    }
}

/// A replica picked for one attempt; given back when dropped.
struct Picked<'a, P: Platform> {
    node: &'a Node<P>,
    id: EndpointId,
    address: SocketAddr,
}

impl<P: Platform> Drop for Picked<'_, P> {
    fn drop(&mut self) {
        lock(&self.node.tables.picker).end(&self.id);
    }
}

/// Sends a call to a replica in service that is not in `avoid`, and adds it there.
pub async fn attempt<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
    avoid: &mut BTreeSet<EndpointId>,
) -> Result<Attempt, Failure> {
    let Some(picked) = pick(node, call, avoid) else {
        let detail = format!("no replica of {} is in service", call.service);
        let failure = Failure::new(Code::NoEndpoint, &detail);
        return Err(failure.with_retry_after(node.settings.silence));
    };
    avoid.insert(picked.id.clone());
    let left = call.caller.deadline.since(node.now());
    // The connect ends before the deadline cuts the whole, so that a call which never left is told
    // as not run.
    let connect = node.settings.connect.min(left.saturating_sub(TIMER_STEP));
    if connect.is_zero() {
        return Ok(Attempt::NotRun("the deadline passed before the call".to_owned()));
    }
    let ended = timeout(left, exchange(node, call, &picked, connect)).await;
    let ended = ended.unwrap_or_else(|_| Attempt::Lost("the deadline passed".to_owned()));
    let (request, endpoint, left) = (&call.caller.request, &picked.id, left.as_millis());
    node.note(
        request,
        "attempt",
        &format!("endpoint={endpoint} left_ms={left} ended={}", ended.as_str()),
    );
    Ok(ended)
}

fn pick<'a, P: Platform>(
    node: &'a Node<P>,
    call: &Call,
    avoid: &BTreeSet<EndpointId>,
) -> Option<Picked<'a, P>> {
    let table = lock(&node.tables.endpoints);
    let serves = |e: &&Endpoint| match &e.kind {
        EndpointKind::Service { service } => *service == call.service && !avoid.contains(&e.id),
        EndpointKind::Engine { .. } => false,
    };
    let usable: Vec<&EndpointId> = table.usable().filter(serves).map(|e| &e.id).collect();
    let id = lock(&node.tables.picker).pick(&usable)?.clone();
    let address = table.get(&id)?.address;
    Some(Picked { node, id, address })
}

async fn exchange<P: Platform>(
    node: &Node<P>,
    call: &Call,
    picked: &Picked<'_, P>,
    connect: Duration,
) -> Attempt {
    let address = picked.address;
    let may_send = || Ok(node.may_send(&picked.id)?);
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("/call/{}", call.operation))
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header("nutmeggrade-request", call.caller.request.as_str())
        .body(Full::new(call.body.clone()));
    let request = match request {
        Ok(request) => request,
        Err(error) => return Attempt::NotRun(error.to_string()),
    };
    let response = match call_if(address, request, connect, may_send).await {
        Ok(response) => response,
        Err(error) if error.not_sent() => return Attempt::NotRun(error.to_string()),
        Err(error) => return Attempt::Lost(error.to_string()),
    };
    let status = response.status();
    if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return Attempt::NotRun(format!("the service answered {status}"));
    }
    let content = response.headers().get(header::CONTENT_TYPE);
    let content = content.and_then(|v| v.to_str().ok()).map(ToOwned::to_owned);
    match body_bytes(response.into_body(), MAX_ANSWER).await {
        Ok(body) => {
            Attempt::Answered(Answer { status: status.as_u16(), content, body, replayed: false })
        }
        Err(error) => Attempt::Lost(format!("{error:#}")),
    }
}
