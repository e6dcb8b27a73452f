//! HTTP requests that each use a new connection.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::{Bytes, BytesMut};
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;
use tokio::time::timeout;

use crate::{CallTimeouts, Exchange, ResponseBody, TransferError, connect_bounded};

/// Longest time for a body that keeps coming.
const MAX_TRANSFER_TIME: Duration = Duration::from_secs(30);

/// Error for a call without a response.
#[derive(Debug)]
pub enum CallError {
    /// The request was not sent, so it did not run.
    NotSent(anyhow::Error),
    /// The request was sent, and the server was silent for too long.
    Silent,
    /// The request was passed to the transport; whether it ran is unknown.
    Unknown(anyhow::Error),
}

impl CallError {
    /// Returns whether it is proven that the request was not sent.
    pub const fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }

    /// Returns whether the connection was refused because nothing listens at the address.
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
            Self::Silent => f.write_str("no answer"),
            Self::Unknown(e) => write!(f, "answer lost: {e:#}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Sends a request over a new connection and returns the response once its head has arrived.
///
/// The server may close a pooled connection just as a request is written to it; a pool that then
/// repeats the request may run it twice, which shows as duplicate entries in the endpoint's log.
/// With a new connection nothing is repeated, and a failed connect proves that nothing ran.
/// `connect_timeout` limits the connect; limiting the time for the response is up to the caller.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    connect_timeout: Duration,
) -> Result<Response<ResponseBody>, CallError> {
    let timeouts = CallTimeouts { connect: connect_timeout, silence: Duration::MAX };
    call_if(address, request, timeouts, || Ok(())).await
}

/// Sends a request like [`call`], but first calls `may_send` once the connection is established,
/// immediately before sending; its error proves that nothing was sent.
///
/// Connecting takes time, and the process may be suspended meanwhile. A right checked before the
/// connect may have expired since, and the request would run at an endpoint that this process may
/// no longer use.
pub async fn call_if(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeouts: CallTimeouts,
    may_send: impl FnOnce() -> anyhow::Result<()>,
) -> Result<Response<ResponseBody>, CallError> {
    let stream = match timeout(timeouts.connect, connect_bounded(address)).await {
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
    let (exchange, task) = Exchange::new(stream).await.map_err(|e| CallError::NotSent(e.into()))?;
    tokio::spawn(task);
    may_send().map_err(CallError::NotSent)?;
    let backlog = exchange.backlog();
    let response = tokio::select! {
        response = exchange.send(request) => response,
        () = backlog.silence(timeouts.silence) => return Err(CallError::Silent),
    };
    response
        .map_err(|e| CallError::Unknown(anyhow::Error::new(e).context(format!("call {address}"))))
}

/// Reads a complete body of at most `limit` bytes.
pub async fn body_bytes<B>(body: B, limit: usize) -> anyhow::Result<Bytes>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let collected = Limited::new(body, limit)
        .collect()
        .await
        .map_err(|e| anyhow::anyhow!("{e}"))
        .context("read body")?;
    Ok(collected.to_bytes())
}

/// Reads a complete body whose size has no common bound in time, such as a configuration: each part
/// has to arrive within `idle`, and all of it within `MAX_TRANSFER_TIME`.
///
/// # Errors
///
/// Fails if the body breaks off, stalls or is larger than `limit`.
pub async fn transfer_bytes(
    mut body: ResponseBody,
    idle: Duration,
    limit: usize,
) -> Result<Bytes, TransferError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(TransferError::TooLarge);
    }
    let read = async {
        let mut received = BytesMut::new();
        loop {
            let frame = match timeout(idle, body.frame()).await {
                Ok(Some(frame)) => frame.map_err(TransferError::Broken)?,
                Ok(None) => return Ok(received.freeze()),
                Err(_) => return Err(TransferError::Stalled),
            };
            let Ok(part) = frame.into_data() else { continue };
            if received.len() + part.len() > limit {
                return Err(TransferError::TooLarge);
            }
            received.extend_from_slice(&part);
        }
    };
    timeout(MAX_TRANSFER_TIME, read).await.unwrap_or(Err(TransferError::Stalled))
}

/// Creates a request body from a value encoded as JSON.
pub fn json_body<T: serde::Serialize>(value: &T) -> anyhow::Result<Full<Bytes>> {
    let bytes = serde_json::to_vec(value).context("encode body")?;
    Ok(Full::new(Bytes::from(bytes)))
}
