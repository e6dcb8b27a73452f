//! Sends a call to one replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{CallTimeouts, Platform, ResponseBody, call_if};
use nutmeggrade_policy::intake::MemoryFull;
use nutmeggrade_relay::intake::{BodyBuffer, ConnectionMemory};
use tokio::time::timeout;

use super::{Call, ServiceResponse};
use crate::node::Node;
use crate::tables::lock;

/// Maximum size of a forwarded response; it fits into a platform object with space to spare.
const MAX_RESPONSE_BYTES: usize = 512 << 10;

/// Twice the resolution of the runtime's timers.
const TIMER_MARGIN: Duration = Duration::from_millis(2);

/// Result of one attempt at one replica.
#[derive(Debug)]
pub enum AttemptResult {
    /// The service responded.
    Answered(ServiceResponse),
    /// Certainly not run: the request was not sent, or the service refused it unprocessed.
    NotRun(String),
    /// The call was sent, and it is unknown whether it ran.
    Lost(String),
}

impl AttemptResult {
    /// Returns the name of the result in explained requests.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not_run",
            Self::Lost(_) => "lost",
        }
    }
}

/// A replica selected for one attempt; released on drop.
struct PickedReplica<'a, P: Platform> {
    node: &'a Node<P>,
    id: EndpointId,
    address: SocketAddr,
}

impl<P: Platform> Drop for PickedReplica<'_, P> {
    fn drop(&mut self) {
        lock(&self.node.tables.picker).end(&self.id);
    }
}

/// Sends a call to a replica in service that is not in `avoid`, and adds the replica to `avoid`.
pub async fn attempt<P: Platform>(
    node: &Arc<Node<P>>,
    call: &Call,
    avoid: &mut BTreeSet<EndpointId>,
) -> Result<AttemptResult, Failure> {
    let Some(replica) = pick_replica(node, call, avoid) else {
        let detail = format!("no replica of {} is in service", call.service);
        let failure = Failure::new(Code::NoEndpoint, &detail);
        return Err(failure.with_retry_after(node.settings.silence));
    };
    avoid.insert(replica.id.clone());
    let remaining = call.caller.deadline.since(node.now());
    // The connect timeout ends before the deadline of the whole exchange, so that a call which was
    // never sent is reported as not run.
    let connect_timeout = node.settings.connect.min(remaining.saturating_sub(TIMER_MARGIN));
    if connect_timeout.is_zero() {
        return Ok(AttemptResult::NotRun("the deadline passed before the call".to_owned()));
    }
    let result = timeout(remaining, exchange(node, call, &replica, connect_timeout)).await;
    let result = result.unwrap_or_else(|_| AttemptResult::Lost("the deadline passed".to_owned()));
    let (request, endpoint, remaining) = (&call.caller.request, &replica.id, remaining.as_millis());
    node.record_step(
        request,
        "attempt",
        &format!("endpoint={endpoint} left_ms={remaining} ended={}", result.as_str()),
    );
    Ok(result)
}

fn pick_replica<'a, P: Platform>(
    node: &'a Node<P>,
    call: &Call,
    avoid: &BTreeSet<EndpointId>,
) -> Option<PickedReplica<'a, P>> {
    let table = lock(&node.tables.endpoints);
    let is_candidate = |e: &&Endpoint| match &e.kind {
        EndpointKind::Service { service } => *service == call.service && !avoid.contains(&e.id),
        EndpointKind::Engine { .. } => false,
    };
    let candidates: Vec<&EndpointId> = table.usable().filter(is_candidate).map(|e| &e.id).collect();
    let id = lock(&node.tables.picker).pick(&candidates)?.clone();
    let address = table.get(&id)?.address;
    Some(PickedReplica { node, id, address })
}

async fn exchange<P: Platform>(
    node: &Node<P>,
    call: &Call,
    replica: &PickedReplica<'_, P>,
    connect_timeout: Duration,
) -> AttemptResult {
    let address = replica.address;
    let may_send = || Ok(node.may_send(&replica.id)?);
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("/call/{}", call.operation))
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header("nutmeggrade-request", call.caller.request.as_str())
        .body(Full::new(call.body.clone()));
    let request = match request {
        Ok(request) => request,
        Err(error) => return AttemptResult::NotRun(error.to_string()),
    };
    // The deadline bounds the time without a response.
    let timeouts = CallTimeouts { connect: connect_timeout, silence: Duration::MAX };
    let response = match call_if(address, request, timeouts, may_send).await {
        Ok(response) => response,
        Err(error) if error.not_sent() => return AttemptResult::NotRun(error.to_string()),
        Err(error) => return AttemptResult::Lost(error.to_string()),
    };
    let status = response.status();
    if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return AttemptResult::NotRun(format!("the service answered {status}"));
    }
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|v| v.to_str().ok()).map(ToOwned::to_owned);
    match read_body(response.into_body(), &call.memory).await {
        Ok(body) => AttemptResult::Answered(ServiceResponse {
            status: status.as_u16(),
            content_type,
            body,
            replayed: false,
        }),
        Err(error) => AttemptResult::Lost(format!("{error:#}")),
    }
}

/// Reads a response within the memory of its caller's connection.
///
/// # Errors
///
/// Fails if the response breaks off, is too large or finds the memory full.
async fn read_body(mut body: ResponseBody, memory: &ConnectionMemory) -> anyhow::Result<Bytes> {
    let mut buffer = BodyBuffer::new(memory, MAX_RESPONSE_BYTES, "response");
    while let Some(frame) = body.frame().await {
        let Ok(part) = frame.context("read body")?.into_data() else { continue };
        anyhow::ensure!(buffer.fits(part.len()), "the response is too large");
        buffer.push(&part)?;
    }
    buffer.into_bytes().ok().ok_or_else(|| MemoryFull.into())
}
