//! Answers that are no event streams.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::Response;
use http::response::Parts;
use nutmeggrade_wire::answer;
use tokio::sync::mpsc;

use super::call::Call;
use super::end::End;
use super::search::Begun;
use super::upstream::Upstream;
use crate::answer_body::{AnswerBody, Piece};
use crate::node::Node;

/// Largest answer that is read whole before it is passed on. An answer that breaks off on its way
/// can then still be asked for elsewhere, or be reported as a failure.
pub const MOST_KEPT: usize = 256 << 10;
/// Pieces that wait for a client that reads slowly.
const PIECES: usize = 8;

/// Makes the answer to a client out of an endpoint's.
pub fn response(mut head: Parts, body: AnswerBody) -> Response<AnswerBody> {
    answer::clean(&mut head.headers);
    Response::from_parts(head, body)
}

/// Reads an answer whole.
///
/// # Errors
///
/// Fails with the reason if it broke off or is larger than an answer that is kept.
pub async fn read_whole(mut upstream: Upstream) -> Result<Bytes, String> {
    let mut whole = BytesMut::new();
    while let Some(piece) = upstream.next().await {
        whole.extend_from_slice(&piece.map_err(|e| e.to_string())?);
        if whole.len() > MOST_KEPT {
            return Err("an answer without a length is too large".to_owned());
        }
    }
    Ok(whole.freeze())
}

/// Passes a large answer on as it comes.
pub fn forward(node: &Arc<Node>, call: &Call, begun: Begun) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel(PIECES);
    let Begun { answer, place } = begun;
    let (node, request, deadline) = (Arc::clone(node), call.id.clone(), call.deadline);
    tokio::spawn(async move {
        let end = tokio::select! {
            end = pass(answer.upstream, &sender) => end,
            () = sender.closed() => End::ClientGone,
            () = node.clock.until(deadline) => End::Overdue,
        };
        tracing::info!(event = "answer_ended", request = %request,
            endpoint = %place.endpoint.id, end = end.as_str());
        drop(place);
    });
    response(answer.head, AnswerBody::Pieces(receiver))
}

async fn pass(mut upstream: Upstream, sender: &mpsc::Sender<Piece>) -> End {
    while let Some(piece) = upstream.next().await {
        let Ok(piece) = piece else { return End::Broken };
        // A client that has left closes the channel.
        if sender.send(Piece::Bytes(piece)).await.is_err() {
            return End::ClientGone;
        }
    }
    // The channel of an answer with a length may be closed once its last byte is out.
    drop(sender.send(Piece::End).await);
    End::Finished
}
