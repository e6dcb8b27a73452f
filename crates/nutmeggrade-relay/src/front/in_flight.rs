//! An answer that is on its way.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::tap_state::TapState;
use crate::answer_body::{AnswerBody, TruncatedAnswer};
use crate::clock::Clock;
use crate::tables::lock;

/// The body of an answer that notes on its connection when it is over.
#[derive(Debug)]
pub struct InFlight {
    body: AnswerBody,
    state: Arc<Mutex<TapState>>,
    clock: Clock,
}

impl InFlight {
    /// Wraps the body of an answer.
    pub fn new(body: AnswerBody, state: Arc<Mutex<TapState>>, clock: Clock) -> Self {
        Self { body, state, clock }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        lock(&self.state).end(self.clock.now());
    }
}

impl Body for InFlight {
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
