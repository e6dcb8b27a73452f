//! A response body that releases the memory of its request.

use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::body::{Body, Frame, SizeHint};

use super::connection_memory::ConnectionMemory;

/// A response body that releases what was held for its request when it is dropped.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    memory: ConnectionMemory,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of a response on a connection.
    pub const fn new(body: B, memory: ConnectionMemory) -> Self {
        Self { body, memory }
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.memory.end_response();
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
