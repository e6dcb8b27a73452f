//! Calls to engines and other endpoints besides clients' requests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use nutmeggrade_wire::engine::{self, EngineReport};

use crate::short_call::{CallLimits, short_call};

/// Timeout of a connection to an endpoint, and of an engine's report; both take milliseconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest response that is accepted.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Fetches an engine's report.
///
/// # Errors
///
/// Fails if the engine does not respond in time or the response is not a report.
pub async fn report(address: SocketAddr) -> anyhow::Result<EngineReport> {
    let (status, body) =
        call(address, Method::GET, engine::REPORT_PATH, Vec::new(), CONNECT_TIMEOUT).await?;
    anyhow::ensure!(status == StatusCode::OK, "{status}");
    engine::read_report(&body)
}

/// Sends a request and reads the whole response.
///
/// # Errors
///
/// Fails if the response is not complete within `timeout`.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let limits = CallLimits { connect: CONNECT_TIMEOUT, timeout, max_response: MAX_RESPONSE_BYTES };
    short_call(address, method, path, body, limits).await
}
