//! A request and its response on a connection of their own.

use std::fmt;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::backlog::Backlog;
use crate::limited_stream::{LimitedStream, ReceivedBytes};
use crate::response_body::ResponseBody;
use crate::watched_stream::WatchedStream;

/// Largest head of a response, and largest part of its body that is read at once.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Most that is read ahead of a body that nobody takes on: the buffer of the connection, and the parts on
/// their way from there.
pub const READ_AHEAD_BYTES: usize = 3 * MAX_BUFFER_BYTES;

/// The task of a connection, which ends when the exchange and the response's body are dropped.
pub type ConnectionTask = http1::Connection<TokioIo<LimitedStream>, Full<Bytes>>;

/// Why a request that was sent has no response.
#[derive(Debug)]
pub enum ResponseError {
    /// The connection broke, or brought bytes that are no response.
    Broken(hyper::Error),
    /// The status can't be that of a final response.
    NotFinal(StatusCode),
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(error) => error.fmt(f),
            Self::NotFinal(status) => write!(f, "{} is no final status", status.as_u16()),
        }
    }
}

// No source: the text of the HTTP client's error is the whole message.
impl std::error::Error for ResponseError {}

/// A connection for one request, on which nothing was sent yet.
#[derive(Debug)]
pub struct Exchange {
    sender: http1::SendRequest<Full<Bytes>>,
    received: ReceivedBytes,
    backlog: Backlog,
}

impl Exchange {
    /// Prepares a connection. The task has to run for as long as the exchange.
    ///
    /// # Errors
    ///
    /// Fails if the connection broke.
    pub async fn new(stream: TcpStream) -> hyper::Result<(Self, ConnectionTask)> {
        let stream = WatchedStream::new(stream);
        let backlog = stream.backlog();
        let stream = LimitedStream::new(stream);
        let received = stream.received();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, task) = builder.handshake(TokioIo::new(stream)).await?;
        Ok((Self { sender, received, backlog }, task))
    }

    /// Returns what the peer still has to read of the request, once it is sent.
    pub fn backlog(&self) -> Backlog {
        self.backlog.clone()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks before, or if the response isn't final.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ResponseBody>, ResponseError> {
        let response = self.sender.send_request(request).await.map_err(ResponseError::Broken)?;
        let status = response.status();
        if !is_final(status) {
            return Err(ResponseError::NotFinal(status));
        }
        Ok(response.map(|body| ResponseBody::new(body, self.received)))
    }
}

/// Returns whether a status ends a request. The HTTP client reads on after interim responses, but takes
/// 101 and any number up to 999 for the end.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
