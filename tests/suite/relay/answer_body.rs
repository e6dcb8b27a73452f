//! The body of an answer that comes in pieces.

use bytes::Bytes;
use http_body_util::BodyExt;
use nutmeggrade_relay::{AnswerBody, Piece};
use tokio::sync::mpsc;

use crate::support::run;

const EVENT: &[u8] = b"id: 1\n\n";

// A client reads slowly, so that pieces of its answer wait for it and there is no room for more. The
// endpoint dies, and whoever passes the answer on can say no more. What the client gets must end as one
// that broke off; it took a truncated answer for the whole one.
#[test]
fn end_without_a_word_is_no_whole_answer() {
    run(async {
        let (sender, receiver) = mpsc::channel(1);
        sender.send(Piece::Bytes(Bytes::from_static(EVENT))).await?;
        drop(sender);
        let collected = AnswerBody::Pieces(receiver).collect().await;
        assert!(collected.is_err(), "looks complete");
        Ok(())
    });
}

#[test]
fn whole_answer_ends() {
    run(async {
        let (sender, receiver) = mpsc::channel(2);
        sender.send(Piece::Bytes(Bytes::from_static(EVENT))).await?;
        sender.send(Piece::End).await?;
        let collected = AnswerBody::Pieces(receiver).collect().await?;
        assert_eq!(collected.to_bytes(), EVENT);
        Ok(())
    });
}
