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

use crate::line::Line;
use crate::platform::{down, platform};
use crate::settings::Settings;

const PATIENCE: Duration = Duration::from_secs(2);
const MAX_ANSWER: usize = 4 << 20;

/// Lists the instances that the platform knows.
pub async fn instances(platform: &HttpPlatform) -> anyhow::Result<Vec<Entry>> {
    let listed = platform.list("instances/").await.map_err(|e| down(&e))?;
    let decode = |value: Value| serde_json::from_value(value).context("decode instance");
    listed.objects.into_iter().filter_map(|o| o.value).map(decode).collect()
}

/// Lists the names and admin addresses of the instances.
///
/// While the platform is down the addresses come from the settings, so that operators can still see
/// what the instances have in force.
pub async fn reachable(settings: &Settings) -> anyhow::Result<Vec<(String, SocketAddr)>> {
    match instances(&platform(settings)?).await {
        Ok(list) => Ok(list.iter().map(|e| (e.instance.to_string(), e.admin_address)).collect()),
        Err(error) if settings.admin.is_empty() => Err(error),
        Err(error) => {
            eprintln!("nutmegctl: {error:#}; asking the instances of --admin");
            Ok(settings.admin.iter().map(|a| (a.to_string(), *a)).collect())
        }
    }
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

/// Says whether an instance answered with this code.
pub fn is(error: &anyhow::Error, code: Code) -> bool {
    error.downcast_ref::<Failure>().is_some_and(|f| f.code == code)
}

/// Prints that an instance did not answer; a wrong token ends the command, since no other instance
/// would take it either.
pub fn unreachable(settings: &Settings, name: &str, error: anyhow::Error) -> anyhow::Result<()> {
    if is(&error, Code::BadToken) {
        return Err(error);
    }
    let line = Line::new("unreachable").with("instance", name);
    line.with("error", format!("{error:#}")).print(settings);
    Ok(())
}
