//! Calls to engines and other endpoints beside requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use nutmeggrade_wire::engine::{self, EngineReport};

use crate::short_call::{Bounds, short_call};

/// Longest wait for a connection to an endpoint, and for an engine's report; both take milliseconds.
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
    let bounds = Bounds { connect: CONNECT, patience, answer: MAX_ANSWER };
    short_call(address, method, path, body, bounds).await
}
