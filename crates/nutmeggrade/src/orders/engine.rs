//! Sends orders to engines and reads their state.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use nutmeggrade_core::order::{EngineState, FencedOrder, ORDERS_PATH};
use nutmeggrade_platform::{body_bytes, call, json_body};
use tokio::time::timeout;

/// Maximum size of an engine state.
const MAX_STATE_BYTES: usize = 1 << 20;

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResponse {
    /// Accepted; the engine's state shows its progress.
    Accepted,
    /// Refused because of an outdated fencing number.
    Outdated,
    /// Refused for another reason.
    Refused(StatusCode),
}

/// Fetches the state of an engine.
pub async fn fetch_state(address: SocketAddr, limit: Duration) -> anyhow::Result<EngineState> {
    let request = Request::builder()
        .uri(ORDERS_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .context("build request")?;
    let exchange = async {
        let response = call(address, request, limit).await?;
        let status = response.status();
        anyhow::ensure!(status.is_success(), "engine answered {status}");
        let body = body_bytes(response.into_body(), MAX_STATE_BYTES).await?;
        serde_json::from_slice(&body).context("decode engine state")
    };
    timeout(limit, exchange).await.context("engine state: timeout")?
}

/// Sends an order. After an error the order may have been accepted, which the engine's state shows.
pub async fn send_order(
    address: SocketAddr,
    order: &FencedOrder,
    limit: Duration,
) -> anyhow::Result<OrderResponse> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(ORDERS_PATH)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(json_body(order)?)
        .context("build request")?;
    let response =
        timeout(limit, call(address, request, limit)).await.context("order: timeout")??;
    Ok(match response.status() {
        s if s.is_success() => OrderResponse::Accepted,
        StatusCode::CONFLICT => OrderResponse::Outdated,
        s => OrderResponse::Refused(s),
    })
}
