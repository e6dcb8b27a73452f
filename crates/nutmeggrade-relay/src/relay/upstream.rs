//! The body of an endpoint's response.

use std::collections::VecDeque;

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::BodyExt;
use hyper::body::Body;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::ResponseBody;
use nutmeggrade_wire::answer;
use tokio::task::JoinHandle;

/// Aborts a task when dropped.
#[derive(Debug)]
pub struct AbortOnDrop<T>(pub JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The body of an endpoint's response. Dropping it closes the connection, which cancels the request
/// at the endpoint.
#[derive(Debug)]
pub struct UpstreamBody {
    body: ResponseBody,
    framing: BodyFraming,
    unread: VecDeque<Bytes>,
    _connection: AbortOnDrop<()>,
}

impl UpstreamBody {
    /// Wraps the body of a response with these headers, and the task that drives its connection.
    pub fn new(body: ResponseBody, headers: &HeaderMap, connection: AbortOnDrop<()>) -> Self {
        // A response may have no body by its status or method.
        let framing =
            if body.is_end_stream() { BodyFraming::Length } else { answer::read_framing(headers) };
        Self { body, framing, unread: VecDeque::new(), _connection: connection }
    }

    /// Puts parts back, which are then the next to be read.
    pub fn put_back(&mut self, parts: impl Iterator<Item = Bytes>) {
        self.unread.extend(parts.filter(|p| !p.is_empty()));
    }

    /// Returns how the response states where the body ends.
    pub const fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns the next bytes, or `None` at the end of the body. If the body ends with its connection,
    /// this doesn't show that it is complete.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        if let Some(bytes) = self.unread.pop_front() {
            return Some(Ok(bytes));
        }
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    // Trailers are not part of the body.
                    if let Ok(data) = frame.into_data()
                        && !data.is_empty()
                    {
                        return Some(Ok(data));
                    }
                }
                Err(error) => return Some(Err(error)),
            }
        }
    }
}
