//! Calls to engines and peers, each on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use nutmeggrade_platform::{body_bytes, call, transfer_bytes};
use tokio::time::timeout;

/// Limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Timeout of connecting.
    pub connect: Duration,
    /// Timeout of the whole call; of a transfer, of the beginning of the response and of each part of
    /// its body.
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
    let exchange = async {
        let response = call(address, request(address, method, path, body)?, limits.connect).await?;
        let (head, body) = response.into_parts();
        Ok(Response::from_parts(head, body_bytes(body, limits.max_response).await?))
    };
    timeout(limits.timeout, exchange).await.context("no answer in time")?
}

/// Sends a request like [`short_call`], for a response that may be large: it may take as long as its
/// bytes keep coming.
///
/// # Errors
///
/// Fails if the response begins late, stalls or is too large.
pub async fn transfer_call(
    address: SocketAddr,
    path: &str,
    limits: CallLimits,
) -> anyhow::Result<Response<Bytes>> {
    let request = request(address, Method::GET, path, Vec::new())?;
    let response = timeout(limits.timeout, call(address, request, limits.connect));
    let (head, body) = response.await.context("no answer in time")??.into_parts();
    let body = transfer_bytes(body, limits.timeout, limits.max_response).await?;
    Ok(Response::from_parts(head, body))
}

fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> anyhow::Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .context("build request")
}
