//! Calls to engines and other endpoints besides clients' requests.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Response, StatusCode};
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_wire::engine::{self, EngineReport, HoldOutcome};
use nutmeggrade_wire::notice::Notice;

use crate::node::Node;
use crate::short_call::{CallLimits, short_call};
use crate::tables::lock;

/// Timeout of a connection to an endpoint, and of a status check; both take milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest response that is accepted.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Fetches an engine's report; `None` if the engine takes no status check at present.
///
/// # Errors
///
/// Fails if the engine does not respond in time or the response is not a report.
pub async fn report(node: &Node, engine: &EndpointInfo) -> anyhow::Result<Option<EngineReport>> {
    let Some(response) = check(node, engine, engine::REPORT_PATH).await? else { return Ok(None) };
    anyhow::ensure!(response.status() == StatusCode::OK, "{}", response.status());
    engine::read_report(response.body()).map(Some)
}

/// Sends a status check and reads the whole response; `None` if the endpoint takes none at present.
///
/// # Errors
///
/// Fails if the response is not complete within [`CONNECT_TIMEOUT`].
pub async fn check(
    node: &Node,
    endpoint: &EndpointInfo,
    path: &str,
) -> anyhow::Result<Option<Response<Bytes>>> {
    if !lock(&node.tables).take_check(&endpoint.id, node.now()) {
        return Ok(None);
    }
    call(node, endpoint, Method::GET, path, Vec::new(), CONNECT_TIMEOUT).await.map(Some)
}

/// Sends an order and reads the whole response. It counts against the endpoint's rate limit, but
/// doesn't wait for a turn: an order moves a generation that would be lost with the endpoint.
///
/// # Errors
///
/// Fails if the endpoint asked for a pause, or if the response is not complete within `timeout`.
pub async fn order(
    node: &Node,
    endpoint: &EndpointInfo,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> anyhow::Result<Response<Bytes>> {
    let may_send = lock(&node.tables).take_order(&endpoint.id, node.now());
    anyhow::ensure!(may_send, "the endpoint asked for a pause");
    call(node, endpoint, engine::MOVE_METHOD, path, body, timeout).await
}

/// Requests a lease on a slot and some tokens of an engine's memory. The caller has taken the turn
/// for the call.
///
/// # Errors
///
/// Fails if the response is not complete within `timeout`.
pub async fn take_hold(
    node: &Node,
    engine: &EndpointInfo,
    tokens: u64,
    ttl: Duration,
    timeout: Duration,
) -> anyhow::Result<HoldOutcome> {
    let (method, path) = (engine::HOLD_TAKE_METHOD, engine::HOLD_TAKE_PATH);
    let body = engine::write_hold(tokens, ttl);
    let response = call(node, engine, method, path, body, timeout).await?;
    Ok(engine::read_hold(response.status(), response.body()))
}

/// Releases a lease. Like an order, it doesn't wait for a turn: the lease blocks capacity until it
/// expires.
///
/// # Errors
///
/// Fails if the engine asked for a pause, or if the response is not complete in time.
pub async fn drop_hold(node: &Node, engine: &EndpointInfo, lease: &str) -> anyhow::Result<()> {
    let may_send = lock(&node.tables).take_order(&engine.id, node.now());
    anyhow::ensure!(may_send, "the endpoint asked for a pause");
    let path = engine::hold_drop_path(lease);
    let method = engine::HOLD_DROP_METHOD;
    let response = call(node, engine, method, &path, Vec::new(), CONNECT_TIMEOUT).await?;
    anyhow::ensure!(response.status().is_success(), "{}", response.status());
    Ok(())
}

async fn call(
    node: &Node,
    endpoint: &EndpointInfo,
    method: Method,
    path: &str,
    body: Vec<u8>,
    timeout: Duration,
) -> anyhow::Result<Response<Bytes>> {
    let limits = CallLimits { connect: CONNECT_TIMEOUT, timeout, max_response: MAX_RESPONSE_BYTES };
    let response = short_call(endpoint.address, method, path, body, limits).await?;
    // Only responses to requests must state a limit, so these show none that was withdrawn.
    let notice = Notice::read(response.status(), response.headers());
    node.apply_notice(&endpoint.id, notice, None);
    Ok(response)
}
