//! The bytes of an engine's event stream.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use futures::Stream;
use http_body_util::BodyDataStream;
use nutmeggrade_platform::ResponseBody;

/// Bytes that may arrive without completing an event: more than one part of the body holds. Events of
/// tokens are a few hundred bytes long.
const MAX_UNFINISHED_BYTES: usize = 128 << 10;

/// Why an event stream can't be read on.
#[derive(Debug)]
pub enum EventBytesError {
    /// The connection broke.
    Broken(hyper::Error),
    /// An event has no end, or comments follow each other without end.
    TooLong,
}

impl fmt::Display for EventBytesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(f),
            Self::TooLong => f.write_str("bytes without end that complete no event"),
        }
    }
}

impl std::error::Error for EventBytesError {}

/// The bytes of an event stream, which fails once too many of them complete no event.
///
/// The parser of events keeps what has arrived of one, whatever its size.
#[derive(Debug)]
pub struct EventBytes {
    body: BodyDataStream<ResponseBody>,
    unfinished: Arc<AtomicUsize>,
}

impl EventBytes {
    /// Wraps the body of a response.
    pub fn new(body: ResponseBody) -> Self {
        Self { body: BodyDataStream::new(body), unfinished: Arc::default() }
    }

    /// Returns the count of bytes since the last event, to be reset with each event.
    pub fn unfinished(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.unfinished)
    }
}

impl Stream for EventBytes {
    type Item = Result<Bytes, EventBytesError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(bytes) = ready!(Pin::new(&mut self.body).poll_next(cx)) else {
            return Poll::Ready(None);
        };
        let bytes = bytes.map_err(EventBytesError::Broken)?;
        let before = self.unfinished.fetch_add(bytes.len(), Ordering::Relaxed);
        if before + bytes.len() > MAX_UNFINISHED_BYTES {
            return Poll::Ready(Some(Err(EventBytesError::TooLong)));
        }
        Poll::Ready(Some(Ok(bytes)))
    }
}
