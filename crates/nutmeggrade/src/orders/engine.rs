//! Giving an order to an engine and reading its state.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use nutmeggrade_core::order::{EngineState, FencedOrder, ORDERS_PATH};
use nutmeggrade_platform::{body_bytes, call, json_body};
use tokio::time::timeout;

/// Largest state, in bytes.
const MAX_STATE: usize = 1 << 20;

/// What an engine made of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Taken; its effect is to be read back.
    Taken,
    /// Refused for its old fencing number.
    Outdated,
    /// Refused for another reason.
    Refused(StatusCode),
}

/// Reads what an engine has and does.
pub async fn state(address: SocketAddr, wait: Duration) -> anyhow::Result<EngineState> {
    let request = Request::builder()
        .uri(ORDERS_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .context("build request")?;
    let exchange = async {
        let response = call(address, request, wait).await?;
        let status = response.status();
        anyhow::ensure!(status.is_success(), "engine answered {status}");
        let body = body_bytes(response.into_body(), MAX_STATE).await?;
        serde_json::from_slice(&body).context("decode engine state")
    };
    timeout(wait, exchange).await.context("engine state: timeout")?
}

/// Gives an order; an error leaves open whether it was taken, which reading back shows.
pub async fn give(
    address: SocketAddr,
    order: &FencedOrder,
    wait: Duration,
) -> anyhow::Result<Answer> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(ORDERS_PATH)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(json_body(order)?)
        .context("build request")?;
    let response =
        timeout(wait, call(address, request, wait)).await.context("order: timeout")??;
    Ok(match response.status() {
        s if s.is_success() => Answer::Taken,
        StatusCode::CONFLICT => Answer::Outdated,
        s => Answer::Refused(s),
    })
}
