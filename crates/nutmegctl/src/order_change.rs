//! Giving an order: write version n+1 of what is wanted, then see its effect read back.

use anyhow::Context;
use nutmeggrade_core::order::{DesiredState, Order, OrderStatus, Progress};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{HttpPlatform, Platform};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::change::wall_ms;
use crate::line::Line;
use crate::platform::{POLL, down, platform};
use crate::settings::Settings;
use crate::versioned::write;

/// Versions of an engine's orders that the platform keeps.
const KEPT: u64 = 32;

/// Reads every order to an engine, oldest first.
pub async fn history(
    platform: &HttpPlatform,
    endpoint: &EndpointId,
) -> anyhow::Result<Vec<DesiredState>> {
    let listed = platform.list(&DesiredState::prefix(endpoint)).await.map_err(|e| down(&e))?;
    let decode = |value: Value| serde_json::from_value(value).context("decode order");
    listed.objects.into_iter().filter_map(|o| o.value).map(decode).collect()
}

/// Reads what came of the orders to an engine.
pub async fn effect(
    platform: &HttpPlatform,
    endpoint: &EndpointId,
) -> anyhow::Result<Option<OrderStatus>> {
    let found = platform.read(&OrderStatus::key(endpoint)).await.map_err(|e| down(&e))?;
    let value = found.and_then(|o| o.value);
    value.map(|v| serde_json::from_value(v).context("decode effect")).transpose()
}

/// Gives an order: checked, written, then seen to have taken effect.
pub async fn give(settings: &Settings, endpoint: &EndpointId, order: &Order) -> anyhow::Result<()> {
    if settings.who.trim().is_empty() || settings.why.trim().is_empty() {
        return Err(Failure::new(Code::WhoWhyMissing, "an order needs --who and --why").into());
    }
    let platform = platform(settings)?;
    check(&platform, endpoint).await?;
    let before = history(&platform, endpoint).await?.pop();
    if let Some(before) = before.as_ref().filter(|d| d.has(order)) {
        let line = Line::new("unchanged").with("version", before.version);
        line.with("detail", "already wanted; nothing was written").print(settings);
        return if settings.dry_run {
            Ok(())
        } else {
            seen(settings, &platform, endpoint, before).await
        };
    }
    let id = ChangeId::new(&GenerationId::new(rand::random()).to_string())?;
    let next = DesiredState::new(before.as_ref(), id, &settings.who, &settings.why, order);
    let next = next.with_time(wall_ms());
    let name = if settings.dry_run { "would_accept" } else { "accepted" };
    let line = Line::new(name).with("version", next.version).with("order", order.to_string());
    if settings.dry_run {
        line.print(settings);
        return Ok(());
    }
    let later = format!("ask `nutmegctl order show {endpoint}` later for {}", next.id);
    write(&platform, &DesiredState::key(endpoint, next.version), &next, &later).await?;
    line.print(settings);
    forget_old(&platform, endpoint, next.version).await;
    seen(settings, &platform, endpoint, &next).await
}

async fn check(platform: &HttpPlatform, endpoint: &EndpointId) -> anyhow::Result<()> {
    let listed = platform.endpoints().await.map_err(|e| down(&e))?;
    let is_engine = |e: &&Endpoint| matches!(e.kind, EndpointKind::Engine { .. });
    if listed.iter().filter(is_engine).any(|e| e.id == *endpoint) {
        return Ok(());
    }
    let detail = format!("no engine {endpoint} is listed");
    Err(Failure::new(Code::UnknownName, &detail).into())
}

async fn forget_old(platform: &HttpPlatform, endpoint: &EndpointId, version: u64) {
    let Some(old) = version.checked_sub(KEPT) else { return };
    let key = DesiredState::key(endpoint, old);
    let Ok(Some(object)) = platform.read(&key).await else { return };
    if let Err(error) = platform.remove(&key, object.version).await {
        eprintln!("nutmegctl: {key} was not removed: {error}");
    }
}

/// Waits until the engine's owner has read back that an order took effect.
async fn seen(
    settings: &Settings,
    platform: &HttpPlatform,
    endpoint: &EndpointId,
    wanted: &DesiredState,
) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        let found = effect(platform, endpoint).await;
        let current = found.as_ref().ok().and_then(Option::as_ref);
        let current = current.filter(|e| e.version >= wanted.version);
        if let Some(effect) = current.filter(|e| e.progress == Progress::Done) {
            print(settings, "done", effect)?;
            return Ok(());
        }
        if start.elapsed() >= settings.wait {
            let seen = current.map(serde_json::to_string).transpose()?;
            let seen = seen.unwrap_or_else(|| "no owner took it up".to_owned());
            let detail = format!("accepted, but not yet in effect: {seen}");
            return Err(Failure::new(Code::NotInForce, &detail).into());
        }
        sleep(POLL).await;
    }
}

/// Prints what came of the orders.
pub fn print(settings: &Settings, name: &'static str, effect: &OrderStatus) -> anyhow::Result<()> {
    let line = Line::new(name).with("version", effect.version).with("epoch", effect.epoch);
    let line = line.with("instance", effect.instance.as_str());
    let line = line.with("progress", serde_json::to_value(effect.progress)?);
    line.with("detail", effect.detail.as_str()).print(settings);
    Ok(())
}
