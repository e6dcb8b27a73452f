//! Answer bodies that are streamed in pieces.

use bytes::Bytes;
use http_body_util::BodyExt;
use nutmeggrade_relay::{AnswerBody, BodyChunk};
use tokio::sync::mpsc;

use crate::support::run;

const EVENT: &[u8] = b"id: 1\n\n";

// A client reads slowly, so that chunks of its answer fill the channel. The endpoint dies, and the
// sender is dropped before it can send an end. The body has to end with an error; without it the
// client took a truncated answer for a complete one.
#[test]
fn missing_end_is_an_error() {
    run(async {
        let (sender, receiver) = mpsc::channel(1);
        sender.send(BodyChunk::Bytes(Bytes::from_static(EVENT))).await?;
        drop(sender);
        let collected = AnswerBody::Chunks(receiver).collect().await;
        assert!(collected.is_err(), "a body without an end looks complete");
        Ok(())
    });
}

#[test]
fn complete_answer_ends() {
    run(async {
        let (sender, receiver) = mpsc::channel(2);
        sender.send(BodyChunk::Bytes(Bytes::from_static(EVENT))).await?;
        sender.send(BodyChunk::End).await?;
        let collected = AnswerBody::Chunks(receiver).collect().await?;
        assert_eq!(collected.to_bytes(), EVENT);
        Ok(())
    });
}
