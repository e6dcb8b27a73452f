//! Short calls to engines and peers.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use nutmeggrade_platform::{body_bytes, call};
use tokio::time::timeout;

/// Limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Timeout of connecting.
    pub connect: Duration,
    /// Timeout of the whole call.
    pub timeout: Duration,
    /// Largest response, in bytes.
    pub max_response: usize,
}

/// Sends a request on a new connection and reads the whole response.
///
/// # Errors
///
/// Fails if the response is not complete within the limits.
pub async fn short_call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    limits: CallLimits,
) -> anyhow::Result<Response<Bytes>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .context("build request")?;
    let exchange = async {
        let response = call(address, request, limits.connect).await?;
        let (head, body) = response.into_parts();
        Ok(Response::from_parts(head, body_bytes(body, limits.max_response).await?))
    };
    timeout(limits.timeout, exchange).await.context("no answer in time")?
}
