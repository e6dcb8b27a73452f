//! Answers that are no event streams.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::Response;
use http::response::Parts;
use nutmeggrade_core::prelude::*;
use nutmeggrade_wire::answer;
use tokio::sync::mpsc;

use super::search::Begun;
use super::upstream::Upstream;
use crate::answer_body::{AnswerBody, BrokenOff, Piece};
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
pub fn forward(node: &Arc<Node>, deadline: Moment, begun: Begun) -> Response<AnswerBody> {
    let (sender, receiver) = mpsc::channel(PIECES);
    let Begun { answer, place } = begun;
    let node = Arc::clone(node);
    tokio::spawn(async move {
        let passed = pass(answer.upstream, &sender);
        tokio::select! {
            () = passed => {}
            () = sender.closed() => {}
            () = node.clock.until(deadline) => drop(sender.try_send(Err(BrokenOff))),
        }
        drop(place);
    });
    response(answer.head, AnswerBody::Pieces(receiver))
}

async fn pass(mut upstream: Upstream, sender: &mpsc::Sender<Piece>) {
    while let Some(piece) = upstream.next().await {
        let piece = piece.map_err(|error| {
            tracing::info!(event = "answer_broke_off", %error);
            BrokenOff
        });
        let is_over = piece.is_err();
        // A client that has left closes the channel, which ends the task.
        if sender.send(piece).await.is_err() || is_over {
            return;
        }
    }
}
