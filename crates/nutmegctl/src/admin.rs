//! Calls to the admin API of instances.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http::{Method, Request, header};
use nutmeggrade_core::peer::InstanceEntry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{HttpPlatform, Platform, body_bytes, call, json_body};
use serde_json::Value;
use tokio::time::timeout;

use crate::line::Line;
use crate::platform::{platform_client, platform_down};
use crate::settings::Settings;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Returns the instances that are registered at the platform.
pub async fn list_instances(platform: &HttpPlatform) -> anyhow::Result<Vec<InstanceEntry>> {
    let listed = platform.list("instances/").await.map_err(|e| platform_down(&e))?;
    let decode = |value: Value| serde_json::from_value(value).context("decode instance");
    listed.objects.into_iter().filter_map(|o| o.value).map(decode).collect()
}

/// Returns the names and admin addresses of all instances.
///
/// While the platform is down, the addresses of `--admin` are used, so that operators can still see
/// what the instances have in force.
pub async fn addresses(settings: &Settings) -> anyhow::Result<Vec<(String, SocketAddr)>> {
    match list_instances(&platform_client(settings)?).await {
        Ok(list) => Ok(list.iter().map(|e| (e.instance.to_string(), e.admin_address)).collect()),
        Err(error) if settings.admin.is_empty() => Err(error),
        Err(error) => {
            eprintln!("nutmegctl: {error:#}; querying the instances of --admin");
            Ok(settings.admin.iter().map(|a| (a.to_string(), *a)).collect())
        }
    }
}

/// Sends a request with the operator token. A failure response is returned as a [`Failure`] error.
pub async fn send_request(
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
        let response = call(address, request, REQUEST_TIMEOUT).await?;
        let status = response.status();
        let bytes = body_bytes(response.into_body(), MAX_RESPONSE_BYTES).await?;
        anyhow::Ok((status, bytes))
    };
    let (status, bytes) =
        timeout(REQUEST_TIMEOUT, exchange).await.context("no response in time")??;
    if !status.is_success() {
        let failure: Failure = serde_json::from_slice(&bytes).context("decode failure")?;
        return Err(failure.into());
    }
    serde_json::from_slice(&bytes).context("decode answer")
}

/// Returns whether an error is a failure with this code.
pub fn has_code(error: &anyhow::Error, code: Code) -> bool {
    error.downcast_ref::<Failure>().is_some_and(|f| f.code == code)
}

/// Prints that an instance did not respond. A rejected token is returned as an error instead, since
/// every other instance would reject it too.
pub fn report_unreachable(
    settings: &Settings,
    name: &str,
    error: anyhow::Error,
) -> anyhow::Result<()> {
    if has_code(&error, Code::BadToken) {
        return Err(error);
    }
    let line = Line::new("unreachable").with("instance", name);
    line.with("error", format!("{error:#}")).print(settings);
    Ok(())
}
