//! Calls to the instances' admin addresses.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http::{Method, Request, header};
use nutmeggrade_core::peer::Entry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{HttpPlatform, Platform, body_bytes, call, json_body};
use serde_json::Value;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(2);
const MAX_ANSWER: usize = 4 << 20;

/// Lists the instances that the platform knows.
pub async fn instances(platform: &HttpPlatform) -> anyhow::Result<Vec<Entry>> {
    let listed = platform.list("instances/").await.context("list instances")?;
    let decode = |value: Value| serde_json::from_value(value).context("decode instance");
    listed.objects.into_iter().filter_map(|o| o.value).map(decode).collect()
}

/// Sends one request with the operators' token; a failure's code comes back as the error.
pub async fn ask(
    address: SocketAddr,
    token: &Secret,
    method: Method,
    path: &str,
    body: &Value,
) -> anyhow::Result<Value> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {}", token.expose()))
        .body(json_body(body)?)
        .context("build request")?;
    let exchange = async {
        let response = call(address, request, PATIENCE).await?;
        let status = response.status();
        let bytes = body_bytes(response.into_body(), MAX_ANSWER).await?;
        anyhow::Ok((status, bytes))
    };
    let (status, bytes) = timeout(PATIENCE, exchange).await.context("no answer in time")??;
    if !status.is_success() {
        let failure: Failure = serde_json::from_slice(&bytes).context("decode failure")?;
        return Err(failure.into());
    }
    serde_json::from_slice(&bytes).context("decode answer")
}
