//! The body of a response.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::limited_stream::ReceivedBytes;

/// The body of a response on a connection that limits the bytes which belong to no body.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    received: ReceivedBytes,
}

impl ResponseBody {
    /// Wraps the body of a response on the connection that counts these bytes.
    pub(crate) const fn new(body: Incoming, received: ReceivedBytes) -> Self {
        Self { body, received }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && frame.data_ref().is_some_and(|data| !data.is_empty())
        {
            self.received.reset();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
