//! Orders to engines: writes version n+1 of the desired state, then waits for its effect.

use anyhow::Context;
use nutmeggrade_core::order::{DesiredState, Order, OrderStatus, Progress};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{HttpPlatform, Platform};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::change::wall_time_ms;
use crate::line::Line;
use crate::platform::{POLL_INTERVAL, platform_client, platform_down};
use crate::settings::Settings;
use crate::versioned::write_version;

/// Number of versions of an engine's orders that are kept on the platform.
const MAX_ORDER_VERSIONS: u64 = 32;

/// Returns the orders to an engine, oldest first.
pub async fn order_history(
    platform: &HttpPlatform,
    endpoint: &EndpointId,
) -> anyhow::Result<Vec<DesiredState>> {
    let listed =
        platform.list(&DesiredState::prefix(endpoint)).await.map_err(|e| platform_down(&e))?;
    let decode = |value: Value| serde_json::from_value(value).context("decode order");
    listed.objects.into_iter().filter_map(|o| o.value).map(decode).collect()
}

/// Returns the recorded status of the orders to an engine.
pub async fn read_status(
    platform: &HttpPlatform,
    endpoint: &EndpointId,
) -> anyhow::Result<Option<OrderStatus>> {
    let object = platform.read(&OrderStatus::key(endpoint)).await.map_err(|e| platform_down(&e))?;
    let value = object.and_then(|o| o.value);
    value.map(|v| serde_json::from_value(v).context("decode effect")).transpose()
}

/// Validates an order, writes it and waits until it has taken effect.
pub async fn submit_order(
    settings: &Settings,
    endpoint: &EndpointId,
    order: &Order,
) -> anyhow::Result<()> {
    if settings.who.trim().is_empty() || settings.why.trim().is_empty() {
        return Err(Failure::new(Code::WhoWhyMissing, "an order needs --who and --why").into());
    }
    let platform = platform_client(settings)?;
    check_engine(&platform, endpoint).await?;
    let previous = order_history(&platform, endpoint).await?.pop();
    if let Some(previous) = previous.as_ref().filter(|d| d.has(order)) {
        let line = Line::new("unchanged").with("version", previous.version);
        line.with("detail", "already ordered; nothing was written").print(settings);
        return if settings.dry_run {
            Ok(())
        } else {
            wait_for_effect(settings, &platform, endpoint, previous).await
        };
    }
    let id = ChangeId::new(&GenerationId::new(rand::random()).to_string())?;
    let next = DesiredState::new(previous.as_ref(), id, &settings.who, &settings.why, order);
    let next = next.with_time(wall_time_ms());
    let name = if settings.dry_run { "would_accept" } else { "accepted" };
    let line = Line::new(name).with("version", next.version).with("order", order.to_string());
    if settings.dry_run {
        line.print(settings);
        return Ok(());
    }
    let hint = format!("ask `nutmegctl order show {endpoint}` later for {}", next.id);
    write_version(&platform, &DesiredState::key(endpoint, next.version), &next, &hint).await?;
    line.print(settings);
    remove_old_version(&platform, endpoint, next.version).await;
    wait_for_effect(settings, &platform, endpoint, &next).await
}

async fn check_engine(platform: &HttpPlatform, endpoint: &EndpointId) -> anyhow::Result<()> {
    let listed = platform.endpoints().await.map_err(|e| platform_down(&e))?;
    let is_engine = |e: &&Endpoint| matches!(e.kind, EndpointKind::Engine { .. });
    if listed.iter().filter(is_engine).any(|e| e.id == *endpoint) {
        return Ok(());
    }
    let detail = format!("no engine {endpoint} is listed");
    Err(Failure::new(Code::UnknownName, &detail).into())
}

async fn remove_old_version(platform: &HttpPlatform, endpoint: &EndpointId, version: u64) {
    let Some(old_version) = version.checked_sub(MAX_ORDER_VERSIONS) else { return };
    let key = DesiredState::key(endpoint, old_version);
    let Ok(Some(object)) = platform.read(&key).await else { return };
    if let Err(error) = platform.remove(&key, object.version).await {
        eprintln!("nutmegctl: {key} was not removed: {error}");
    }
}

/// Waits until the instance that owns the engine has confirmed that an order took effect.
async fn wait_for_effect(
    settings: &Settings,
    platform: &HttpPlatform,
    endpoint: &EndpointId,
    desired_state: &DesiredState,
) -> anyhow::Result<()> {
    let started = Instant::now();
    loop {
        let recorded = read_status(platform, endpoint).await;
        let current = recorded.as_ref().ok().and_then(Option::as_ref);
        let current = current.filter(|e| e.version >= desired_state.version);
        if let Some(status) = current.filter(|e| e.progress == Progress::Done) {
            print_status(settings, "done", status)?;
            return Ok(());
        }
        if started.elapsed() >= settings.wait {
            let last_status = current.map(serde_json::to_string).transpose()?;
            let last_status = last_status.unwrap_or_else(|| "no owner has accepted it".to_owned());
            let detail = format!("accepted, but not yet in effect: {last_status}");
            return Err(Failure::new(Code::NotInForce, &detail).into());
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Prints the status of the orders to an engine.
pub fn print_status(
    settings: &Settings,
    name: &'static str,
    status: &OrderStatus,
) -> anyhow::Result<()> {
    let line = Line::new(name).with("version", status.version).with("epoch", status.epoch);
    let line = line.with("instance", status.instance.as_str());
    let line = line.with("progress", serde_json::to_value(status.progress)?);
    line.with("detail", status.detail.as_str()).print(settings);
    Ok(())
}
