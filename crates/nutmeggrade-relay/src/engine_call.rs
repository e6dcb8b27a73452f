//! Calls to engines beside requests.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use nutmeggrade_platform::{body_bytes, call};
use nutmeggrade_wire::engine::{self, EngineReport};
use tokio::time::timeout;

/// Longest wait for a connection to an engine, and for its report; both take milliseconds.
pub const CONNECT: Duration = Duration::from_millis(300);
/// Longest answer to a call.
const MAX_ANSWER: usize = 64 << 10;

/// Asks an engine for its report.
///
/// # Errors
///
/// Fails if the engine does not answer in time or with something else.
pub async fn report(address: SocketAddr) -> anyhow::Result<EngineReport> {
    let (status, body) =
        ask(address, Method::GET, engine::REPORT_PATH, Vec::new(), CONNECT).await?;
    anyhow::ensure!(status == StatusCode::OK, "{status}");
    engine::read_report(&body)
}

/// Sends a call and reads the whole answer.
///
/// # Errors
///
/// Fails if no whole answer comes within `patience`.
pub async fn ask(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    patience: Duration,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .context("build request")?;
    let exchange = async {
        let response = call(address, request, CONNECT).await?;
        let status = response.status();
        Ok((status, body_bytes(response.into_body(), MAX_ANSWER).await?))
    };
    timeout(patience, exchange).await.context("no answer in time")?
}
