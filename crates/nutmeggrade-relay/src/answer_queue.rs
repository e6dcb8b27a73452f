//! The queue of the parts of a response that wait for their client.

use std::fmt;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::intake::RESPONSE_QUEUE_BYTES;

/// Largest number of parts in a queue, whatever their size.
const MAX_PARTS: usize = 16;

/// What the queue holds.
#[derive(Debug)]
enum Queued {
    /// A part, with its share of the queue's size until it is taken.
    Part { bytes: Bytes, _room: OwnedSemaphorePermit },
    /// Marks the response as complete.
    End,
}

/// A part of a response, or its end.
#[derive(Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// Content.
    Bytes(Bytes),
    /// The response is complete.
    End,
    /// The response broke off.
    Truncated,
}

/// Error of a response whose client has disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientGone;

impl fmt::Display for ClientGone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the client has disconnected")
    }
}

impl std::error::Error for ClientGone {}

/// Creates a queue that holds [`RESPONSE_QUEUE_BYTES`].
///
/// A limit on the number of parts alone would not bound the memory: a part may have any size.
pub fn answer_queue() -> (AnswerSender, AnswerReceiver) {
    let (sender, receiver) = mpsc::channel(MAX_PARTS);
    let room = Arc::new(Semaphore::new(RESPONSE_QUEUE_BYTES));
    (AnswerSender { sender, room }, AnswerReceiver(receiver))
}

/// Adds the parts of a response to its queue. Dropped before [`Self::finish`], it breaks the response off.
#[derive(Debug)]
pub struct AnswerSender {
    sender: mpsc::Sender<Queued>,
    room: Arc<Semaphore>,
}

impl AnswerSender {
    /// Adds a part once the queue has room for it.
    ///
    /// # Errors
    ///
    /// Fails if the client has disconnected.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ClientGone> {
        if bytes.len() <= RESPONSE_QUEUE_BYTES {
            return self.send_part(bytes).await;
        }
        for part in bytes.chunks(RESPONSE_QUEUE_BYTES) {
            // A slice would keep all of the bytes until the client has read the last of them.
            self.send_part(Bytes::copy_from_slice(part)).await?;
        }
        Ok(())
    }

    async fn send_part(&self, bytes: Bytes) -> Result<(), ClientGone> {
        let size = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
        let room = Arc::clone(&self.room).acquire_many_owned(size).await.ok().ok_or(ClientGone)?;
        self.sender.send(Queued::Part { bytes, _room: room }).await.ok().ok_or(ClientGone)
    }

    /// Marks the response as complete.
    pub async fn finish(&self) {
        // With a Content-Length, the receiver may close once the last byte is sent.
        drop(self.sender.send(Queued::End).await);
    }

    /// Waits until the client has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// Takes the parts of a response from its queue.
#[derive(Debug)]
pub struct AnswerReceiver(mpsc::Receiver<Queued>);

impl AnswerReceiver {
    /// Polls the next part.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<AnswerPart> {
        self.0.poll_recv(cx).map(|queued| match queued {
            Some(Queued::Part { bytes, .. }) => AnswerPart::Bytes(bytes),
            Some(Queued::End) => AnswerPart::End,
            None => AnswerPart::Truncated,
        })
    }
}
