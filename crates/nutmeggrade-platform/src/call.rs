//! One HTTP request over one fresh connection.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Why a call brought no response.
#[derive(Debug)]
pub enum CallError {
    /// No connection was made, so not a byte of the request left: it did not run.
    NotSent(anyhow::Error),
    /// The request was handed to the transport and its fate is unknown.
    Unknown(anyhow::Error),
}

impl CallError {
    /// Says whether it is proved that the request never left this process.
    pub const fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    /// Says whether the other machine answered that nobody listens at the address.
    pub fn is_refused(&self) -> bool {
        let Self::NotSent(error) = self else { return false };
        let is_refusal = |e: &io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
        error.chain().filter_map(|e| e.downcast_ref()).any(is_refusal)
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(e) => write!(f, "not sent: {e:#}"),
            Self::Unknown(e) => write!(f, "answer lost: {e:#}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Sends one request over a connection of its own and returns the response's head.
///
/// A pooled connection may be closed by the server just as a request is written to it, and a pool
/// that then repeats the request runs it twice; one notices double entries in the endpoint's log.
/// With a fresh connection nothing is ever repeated, and a failed connect proves that nothing ran.
/// `connect` bounds the connect; the caller bounds the answer.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connect: Duration,
) -> Result<Response<Incoming>, CallError> {
    call_if(address, request, connect, || Ok(())).await
}

/// Sends one request like [`call`], but asks `may_send` once the connection stands, immediately
/// before the request is handed over; its error proves that nothing was sent.
///
/// Connecting takes time, and the process may be frozen meanwhile; a right checked before it may be
/// gone, and one would notice work on an endpoint that this process may not use any more.
pub async fn call_if(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connect: Duration,
    may_send: impl FnOnce() -> anyhow::Result<()>,
) -> Result<Response<Incoming>, CallError> {
    let stream = match timeout(connect, TcpStream::connect(address)).await {
        Ok(Ok(s)) => s,
        Ok(Err(e)) => {
            return Err(CallError::NotSent(
                anyhow::Error::new(e).context(format!("connect {address}")),
            ));
        }
        Err(_) => {
            return Err(CallError::NotSent(anyhow::anyhow!("connect {address}: timeout")));
        }
    };
    stream.set_nodelay(true).map_err(|e| CallError::NotSent(e.into()))?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| CallError::NotSent(e.into()))?;
    // Ends by itself when the sender and the response body are dropped.
    tokio::spawn(connection);
    may_send().map_err(CallError::NotSent)?;
    sender
        .send_request(request)
        .await
        .map_err(|e| CallError::Unknown(anyhow::Error::new(e).context(format!("call {address}"))))
}

/// Reads a whole body of at most `limit` bytes.
pub async fn body_bytes(body: Incoming, limit: usize) -> anyhow::Result<Bytes> {
    let whole = Limited::new(body, limit)
        .collect()
        .await
        .map_err(|e| anyhow::anyhow!("{e}"))
        .context("read body")?;
    Ok(whole.to_bytes())
}

/// Makes a request body out of JSON.
pub fn json_body<T: serde::Serialize>(value: &T) -> anyhow::Result<Full<Bytes>> {
    let bytes = serde_json::to_vec(value).context("encode body")?;
    Ok(Full::new(Bytes::from(bytes)))
}
