//! Responses that are not event streams, and the head of every response to a client.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use nutmeggrade_core::failure::CODE_HEADER;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::READ_AHEAD_BYTES;
use nutmeggrade_wire::answer;

use super::forwarding::PeerResponse;
use super::handler::RequestHandler;
use super::open_response::OpenResponse;
use super::transfer_end::TransferEnd;
use super::upstream::UpstreamBody;
use crate::answer_body::AnswerBody;
use crate::answer_queue::{AnswerSender, answer_queue};
use crate::intake::{BodyBuffer, ConnectionMemory};
use crate::node::Node;

/// Largest body that is read completely before it is forwarded. If it breaks off, the request can
/// still be retried elsewhere or reported as failed.
pub const MAX_BUFFERED_BYTES: usize = 256 << 10;

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
    /// A body larger than the limit, still to be read from its start.
    Large(UpstreamBody),
}

/// Returns the size up to which a body is read completely before it is passed on.
pub const fn buffer_limit(is_held: bool) -> usize {
    if is_held { MAX_HELD_BYTES } else { MAX_BUFFERED_BYTES }
}

/// Reads a body completely, unless it is larger than `max_bytes` or than the client's connection may
/// hold.
///
/// # Errors
///
/// Fails with the reason if the body breaks off.
pub async fn read_body(
    mut upstream: UpstreamBody,
    memory: &ConnectionMemory,
    max_bytes: usize,
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
        let end = forward_until(&node, response.body, &sender, request.deadline).await;
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
        let end = forward_until(&node, body, &sender, request.deadline).await;
        tracing::info!(event = "answer_ended", request = %request.id, endpoint = "-", %peer,
            end = end.as_str());
        drop(entry);
    });
    from_endpoint(head, AnswerBody::Chunks(receiver))
}

async fn forward_until(
    node: &Node,
    body: UpstreamBody,
    sender: &AnswerSender,
    deadline: Moment,
) -> TransferEnd {
    tokio::select! {
        end = forward_body(body, sender) => end,
        () = sender.closed() => TransferEnd::ClientGone,
        () = node.clock.until(deadline) => TransferEnd::DeadlinePassed,
    }
}

async fn forward_body(mut upstream: UpstreamBody, sender: &AnswerSender) -> TransferEnd {
    while let Some(chunk) = upstream.next().await {
        let Ok(chunk) = chunk else { return TransferEnd::UpstreamBroken };
        if sender.send(chunk).await.is_err() {
            return TransferEnd::ClientGone;
        }
    }
    sender.finish().await;
    TransferEnd::Completed
}
