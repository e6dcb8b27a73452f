//! One short call to an engine or a peer.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use nutmeggrade_platform::{body_bytes, call};
use tokio::time::timeout;

/// How long a call may take, and how much it may bring.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Most time to connect.
    pub connect: Duration,
    /// Most time for all of it.
    pub patience: Duration,
    /// Largest answer, in bytes.
    pub answer: usize,
}

/// Sends a call on a connection of its own and reads the whole answer.
///
/// # Errors
///
/// Fails if no whole answer comes within the bounds.
pub async fn short_call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    bounds: Bounds,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .context("build request")?;
    let exchange = async {
        let response = call(address, request, bounds.connect).await?;
        let status = response.status();
        Ok((status, body_bytes(response.into_body(), bounds.answer).await?))
    };
    timeout(bounds.patience, exchange).await.context("no answer in time")?
}
