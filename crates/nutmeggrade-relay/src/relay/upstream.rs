//! An endpoint's answer as it comes.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::task::JoinHandle;

/// Ends a task when it is dropped.
#[derive(Debug)]
pub struct EndOnDrop<T>(pub JoinHandle<T>);

impl<T> Drop for EndOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The body of an endpoint's answer. Dropping it closes the connection, by which the endpoint learns
/// that nobody waits any more.
#[derive(Debug)]
pub struct Upstream {
    body: Incoming,
    _connection: EndOnDrop<()>,
}

impl Upstream {
    /// Wraps a body and the task that serves its connection.
    pub fn new(body: Incoming, connection: EndOnDrop<()>) -> Self {
        Self { body, _connection: connection }
    }

    /// Returns the next bytes; `None` at the end of a whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer broke off.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    // Trailers are no part of the answer's bytes.
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
