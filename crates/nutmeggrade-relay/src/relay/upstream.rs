//! The body of an endpoint's response.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
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
    body: Incoming,
    _connection: AbortOnDrop<()>,
}

impl UpstreamBody {
    /// Wraps a body and the task that drives its connection.
    pub fn new(body: Incoming, connection: AbortOnDrop<()>) -> Self {
        Self { body, _connection: connection }
    }

    /// Returns the next bytes, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off.
    pub async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
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
