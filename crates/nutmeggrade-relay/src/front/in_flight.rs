//! A response body that updates the state of its connection.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::connection_state::ConnectionState;
use crate::answer_body::{AnswerBody, TruncatedAnswer};
use crate::clock::Clock;
use crate::tables::lock;

/// A response body that marks the response as finished on its connection when dropped.
#[derive(Debug)]
pub struct InFlightBody {
    body: AnswerBody,
    state: Arc<Mutex<ConnectionState>>,
    clock: Clock,
}

impl InFlightBody {
    /// Wraps a response body.
    pub fn new(body: AnswerBody, state: Arc<Mutex<ConnectionState>>, clock: Clock) -> Self {
        Self { body, state, clock }
    }
}

impl Drop for InFlightBody {
    fn drop(&mut self) {
        lock(&self.state).finish_response(self.clock.now());
    }
}

impl Body for InFlightBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
