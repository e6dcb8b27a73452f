//! Changes of the configuration: writes version n+1, then waits until it is in force everywhere.

use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::Context;
use http::Method;
use nutmeggrade_core::config::{CONFIG_PREFIX, Change, KnownNames};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{
    HttpPlatform, Platform, advance_config_head, newest_config, strip_old_presets,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::admin;
use crate::line::Line;
use crate::platform::{POLL_INTERVAL, platform_client, platform_down};
use crate::settings::Settings;
use crate::versioned::write_version;

/// Versions per listing call. Each version may have the maximum size of a value.
const PAGE_SIZE: usize = 32;

/// Returns the newest configuration, or `None` if there is none yet.
pub async fn current_config(platform: &HttpPlatform) -> anyhow::Result<Option<Configuration>> {
    let newest = newest_config(platform).await.map_err(|e| platform_down(&e))?;
    Ok(newest.config)
}

/// Returns every version of the configuration, oldest first, read page by page.
pub async fn config_history(platform: &HttpPlatform) -> anyhow::Result<Vec<Configuration>> {
    let mut after = CONFIG_PREFIX.to_owned();
    let mut configs = Vec::new();
    loop {
        let page = platform
            .list_after(CONFIG_PREFIX, &after, PAGE_SIZE)
            .await
            .map_err(|e| platform_down(&e))?;
        let count = page.objects.len();
        if let Some(last) = page.objects.last() {
            after.clone_from(&last.key);
        }
        for value in page.objects.into_iter().filter_map(|o| o.value) {
            configs.push(serde_json::from_value(value).context("decode configuration")?);
        }
        if count < PAGE_SIZE {
            return Ok(configs);
        }
    }
}

/// Validates a change, writes the new version and waits until it is in force.
pub async fn apply_change(settings: &Settings, change: &Change) -> anyhow::Result<()> {
    if settings.who.trim().is_empty() || settings.why.trim().is_empty() {
        return Err(Failure::new(Code::WhoWhyMissing, "a change needs --who and --why").into());
    }
    let platform = platform_client(settings)?;
    let id = ChangeId::new(&GenerationId::new(rand::random()).to_string())?;
    let base = current_config(&platform).await?;
    if let Some(base) = base.as_ref().filter(|c| c.has(change)) {
        let line = Line::new("unchanged").with("version", base.version);
        line.with("detail", "already in the configuration; nothing was written").print(settings);
        return if settings.dry_run {
            Ok(())
        } else {
            push_to_instances(settings, &platform, base).await
        };
    }
    check_names(settings, &platform, base.as_ref(), change).await?;
    let next = match (base, change) {
        (Some(base), _) => base.next(id, &settings.who, &settings.why, change)?,
        (None, Change::PutPreset { preset, content }) => {
            Configuration::new(id, &settings.who, &settings.why, preset, content)
        }
        (None, _) => {
            let detail = "no configuration yet; put a preset first";
            return Err(Failure::new(Code::BadChange, detail).into());
        }
    };
    let next = next.with_time(wall_time_ms());
    if settings.dry_run {
        let line = Line::new("would_accept").with("version", next.version);
        line.with("change", serde_json::to_value(change)?).print(settings);
        return Ok(());
    }
    let hint = format!("ask `nutmegctl audit` later for change {}", next.id);
    write_version(&platform, &Configuration::key(next.version), &next, &hint).await?;
    let line = Line::new("accepted").with("version", next.version);
    line.with("change", next.id.as_str()).print(settings);
    if let Err(error) = advance_config_head(&platform, next.version).await {
        // The head only saves reads, so the command continues.
        eprintln!("configuration head was not raised: {error}");
    }
    if let Err(error) = strip_old_presets(&platform, next.version).await {
        eprintln!("presets of an old version were not removed: {error}");
    }
    push_to_instances(settings, &platform, &next).await
}

/// Rejects a change with a name that the platform doesn't list.
async fn check_names(
    settings: &Settings,
    platform: &HttpPlatform,
    base: Option<&Configuration>,
    change: &Change,
) -> anyhow::Result<()> {
    let endpoints = platform.endpoints().await.map_err(|e| platform_down(&e))?;
    let instances = admin::list_instances(platform).await?;
    let known = KnownNames::new(&endpoints, &instances);
    Ok(known.check_change(base, change, settings.confirm)?)
}

/// Pushes an accepted version to every instance until each has it in force.
async fn push_to_instances(
    settings: &Settings,
    platform: &HttpPlatform,
    config: &Configuration,
) -> anyhow::Result<()> {
    let instances = admin::list_instances(platform).await?;
    let body = serde_json::to_value(config).context("encode configuration")?;
    let started = Instant::now();
    let mut pending: Vec<_> = instances.into_iter().map(|e| (e, String::new())).collect();
    loop {
        let mut remaining = Vec::new();
        for (entry, _) in pending {
            let push = admin::send_request(
                entry.admin_address,
                &settings.token,
                Method::POST,
                "/config",
                &body,
            );
            let response = push.await;
            let version = response.as_ref().ok().and_then(|v| v.get("config")?.as_u64());
            if version.unwrap_or(0) >= config.version {
                let line = Line::new("in_force").with("instance", entry.instance.as_str());
                line.with("version", config.version).print(settings);
            } else {
                let why =
                    response.err().map_or("an older version".to_owned(), |e| format!("{e:#}"));
                remaining.push((entry, why));
            }
        }
        if remaining.is_empty() {
            return Ok(());
        }
        pending = remaining;
        if started.elapsed() >= settings.wait {
            for (entry, why) in &pending {
                let line = Line::new("not_in_force").with("instance", entry.instance.as_str());
                line.with("version", config.version).with("why", why.as_str()).print(settings);
            }
            let names: Vec<_> = pending.iter().map(|(e, _)| json!(e.instance)).collect();
            let detail = format!("accepted, but not yet in force at {}", Value::from(names));
            return Err(Failure::new(Code::NotInForce, &detail).into());
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, for display only.
pub fn wall_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
