//! The body of a response to a client.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::answer_queue::{AnswerPart, AnswerReceiver};

/// Error of a response that broke off. It closes the client's connection in the middle of the
/// response, so that the response can't look complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TruncatedAnswer;

impl fmt::Display for TruncatedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("answer broke off")
    }
}

impl std::error::Error for TruncatedAnswer {}

/// The body of a response to a client.
#[derive(Debug)]
pub enum AnswerBody {
    /// A complete body.
    Whole(Option<Bytes>),
    /// A body in chunks, the last of which is marked as the end.
    ///
    /// The sender may have to stop in the middle, and can't report this while the queue is full
    /// because of a slow client. If a closed queue meant the end of the response, the client
    /// would take a truncated response for a complete one.
    Chunks(AnswerReceiver),
}

impl AnswerBody {
    /// Creates a complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Chunks(chunks) => chunks.poll_next(cx).map(|part| match part {
                AnswerPart::Bytes(bytes) => Some(Ok(Frame::data(bytes))),
                AnswerPart::End => None,
                AnswerPart::Truncated => Some(Err(TruncatedAnswer)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}
