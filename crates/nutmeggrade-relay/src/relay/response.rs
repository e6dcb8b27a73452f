//! Responses that are not event streams, and the head of every response to a client.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use nutmeggrade_core::failure::CODE_HEADER;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_platform::READ_AHEAD_BYTES;
use nutmeggrade_wire::answer;

use super::client_request::ClientRequest;
use super::crash;
use super::exchange::is_event_stream;
use super::forwarding::PeerResponse;
use super::handler::RequestHandler;
use super::open_response::OpenResponse;
use super::shutdown;
use super::transfer_end::TransferEnd;
use super::upstream::UpstreamBody;
use crate::answer_body::AnswerBody;
use crate::answer_queue::{AnswerSender, answer_queue};
use crate::intake::{BodyBuffer, ConnectionMemory};
use crate::node::Node;

/// Largest body that is read completely before it is forwarded. If it breaks off, the request can
/// still be retried elsewhere or reported as failed.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// Largest body that is read completely because it might be cut otherwise.
const MAX_HELD_BYTES: usize = 4 << 20;

/// Largest part of a body that needs no account of what is read ahead of it.
const SMALL_PART_BYTES: usize = 8 << 10;

/// Builds the response to a client from an endpoint's response head.
pub fn from_endpoint(mut head: Parts, body: AnswerBody) -> Response<AnswerBody> {
    answer::remove_connection_headers(&mut head.headers);
    // Only instances set it; a peer would take the response for a failure of this instance.
    head.headers.remove(CODE_HEADER);
    Response::from_parts(head, body)
}

/// A body that was read as far as it is buffered.
#[derive(Debug)]
pub enum ReadBody {
    /// The complete body.
    Whole(Bytes),
    /// A body that is passed on as it is received, still to be read from its start.
    Large(UpstreamBody),
}

/// Reads the body of a response to a client's request, unless it is passed on as it is received: that of an
/// event stream or of a stated length over [`MAX_BUFFERED_BYTES`], if the end of this instance can't cut it.
///
/// # Errors
///
/// Fails with the reason if the body breaks off.
pub async fn read_response(
    node: &Node,
    request: &ClientRequest,
    head: &Parts,
    length: Option<u64>,
    body: UpstreamBody,
) -> Result<ReadBody, String> {
    if shutdown::holds_response(node, request) {
        return read_up_to(MAX_HELD_BYTES, body, &request.memory).await;
    }
    let is_large = length.is_some_and(|l| l > MAX_BUFFERED_BYTES as u64);
    if is_large || is_event_stream(head) {
        return Ok(ReadBody::Large(body));
    }
    read_body(body, &request.memory).await
}

/// Reads a body completely, unless it is larger than [`MAX_BUFFERED_BYTES`] or than the client's
/// connection may hold.
///
/// # Errors
///
/// Fails with the reason if the body breaks off.
pub async fn read_body(
    upstream: UpstreamBody,
    memory: &ConnectionMemory,
) -> Result<ReadBody, String> {
    read_up_to(MAX_BUFFERED_BYTES, upstream, memory).await
}

async fn read_up_to(
    max_bytes: usize,
    mut upstream: UpstreamBody,
    memory: &ConnectionMemory,
) -> Result<ReadBody, String> {
    let mut body = BodyBuffer::new(memory, max_bytes, "response");
    let mut is_small = true;
    while let Some(chunk) = upstream.next().await {
        let chunk = chunk.map_err(|e| e.to_string())?;
        // The HTTP client reads ahead in parts that grow; the first large one accounts for that.
        let has_grown = is_small && chunk.len() > SMALL_PART_BYTES;
        is_small &= !has_grown;
        let has_room = !has_grown || memory.grow(READ_AHEAD_BYTES, "response").is_ok();
        if !has_room || !body.fits(chunk.len()) || body.push(&chunk).is_err() {
            upstream.put_back(body.into_segments().chain([chunk]));
            return Ok(ReadBody::Large(upstream));
        }
    }
    match body.into_bytes() {
        Ok(body) => Ok(ReadBody::Whole(body)),
        Err(body) => {
            upstream.put_back(body.into_segments());
            Ok(ReadBody::Large(upstream))
        }
    }
}

/// Forwards a large body in the background as it is received.
pub fn forward(
    node: &Arc<Node>,
    handler: RequestHandler,
    open: OpenResponse,
) -> Response<AnswerBody> {
    let (sender, receiver) = answer_queue();
    let OpenResponse { response, reservation } = open;
    let RequestHandler { request, open: entry, .. } = handler;
    let node = Arc::clone(node);
    let framing = response.body.framing().as_str();
    tokio::spawn(async move {
        let endpoint = Some(&reservation.endpoint);
        let end = forward_until(&node, response.body, endpoint, &sender, request.deadline).await;
        if end == TransferEnd::Completed {
            node.note_completed(&request.suspects);
        }
        node.metrics.body_ends.with_label_values(&[framing, end.as_str()]).inc();
        tracing::info!(event = "answer_ended", request = %request.id,
            endpoint = %reservation.endpoint.id, end = end.as_str(), framing);
        drop((reservation, entry));
    });
    from_endpoint(response.head, AnswerBody::Chunks(receiver))
}

/// Forwards the body of a response that a peer passes on in the background as it is received.
pub fn forward_from_peer(
    node: &Arc<Node>,
    handler: RequestHandler,
    forwarded: PeerResponse,
) -> Response<AnswerBody> {
    let (sender, receiver) = answer_queue();
    let PeerResponse { peer, head, body } = forwarded;
    let RequestHandler { request, open: entry, .. } = handler;
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let end = forward_until(&node, body, None, &sender, request.deadline).await;
        tracing::info!(event = "answer_ended", request = %request.id, endpoint = "-", %peer,
            end = end.as_str());
        drop(entry);
    });
    from_endpoint(head, AnswerBody::Chunks(receiver))
}

/// Forwards a body until its deadline; `endpoint` is its source, unless that is a peer.
async fn forward_until(
    node: &Arc<Node>,
    body: UpstreamBody,
    endpoint: Option<&EndpointInfo>,
    sender: &AnswerSender,
    deadline: Moment,
) -> TransferEnd {
    tokio::select! {
        end = forward_body(node, body, endpoint, sender) => end,
        () = sender.closed() => TransferEnd::ClientGone,
        () = node.clock.until(deadline) => TransferEnd::DeadlinePassed,
    }
}

async fn forward_body(
    node: &Arc<Node>,
    mut upstream: UpstreamBody,
    endpoint: Option<&EndpointInfo>,
    sender: &AnswerSender,
) -> TransferEnd {
    while let Some(chunk) = upstream.next().await {
        let Ok(chunk) = chunk else { return TransferEnd::UpstreamBroken };
        if sender.send(chunk).await.is_err() {
            return TransferEnd::ClientGone;
        }
    }
    if let Some(endpoint) = endpoint
        && crash::may_have_cut(node, endpoint, upstream.framing()).await
    {
        return TransferEnd::UpstreamBroken;
    }
    sender.finish().await;
    TransferEnd::Completed
}
