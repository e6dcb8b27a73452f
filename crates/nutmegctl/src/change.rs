//! Making a change: write version n+1, then see it in force everywhere.

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
use crate::platform::{POLL, down, platform};
use crate::settings::Settings;
use crate::versioned::write;

/// Versions that one call of a listing returns; each may be as large as a value can be.
const PAGE: usize = 32;

/// Reads the newest configuration; `None` before the first.
pub async fn current(platform: &HttpPlatform) -> anyhow::Result<Option<Configuration>> {
    let newest = newest_config(platform).await.map_err(|e| down(&e))?;
    Ok(newest.config)
}

/// Reads every version of the configuration, oldest first, a few a call.
pub async fn history(platform: &HttpPlatform) -> anyhow::Result<Vec<Configuration>> {
    let mut after = CONFIG_PREFIX.to_owned();
    let mut all = Vec::new();
    loop {
        let page = platform.list_after(CONFIG_PREFIX, &after, PAGE).await.map_err(|e| down(&e))?;
        let count = page.objects.len();
        if let Some(last) = page.objects.last() {
            after.clone_from(&last.key);
        }
        for value in page.objects.into_iter().filter_map(|o| o.value) {
            all.push(serde_json::from_value(value).context("decode configuration")?);
        }
        if count < PAGE {
            return Ok(all);
        }
    }
}

/// Makes one change: checked as a whole, written, then seen in force.
pub async fn make(settings: &Settings, change: &Change) -> anyhow::Result<()> {
    if settings.who.trim().is_empty() || settings.why.trim().is_empty() {
        return Err(Failure::new(Code::WhoWhyMissing, "a change needs --who and --why").into());
    }
    let platform = platform(settings)?;
    let id = ChangeId::new(&GenerationId::new(rand::random()).to_string())?;
    let now = current(&platform).await?;
    if let Some(now) = now.as_ref().filter(|c| c.has(change)) {
        let line = Line::new("unchanged").with("version", now.version);
        line.with("detail", "already so; nothing was written").print(settings);
        return if settings.dry_run { Ok(()) } else { in_force(settings, &platform, now).await };
    }
    check_names(settings, &platform, now.as_ref(), change).await?;
    let next = match (now, change) {
        (Some(now), _) => now.next(id, &settings.who, &settings.why, change)?,
        (None, Change::PutPreset { preset, content }) => {
            Configuration::new(id, &settings.who, &settings.why, preset, content)
        }
        (None, _) => {
            let detail = "no configuration yet; put a preset first";
            return Err(Failure::new(Code::BadChange, detail).into());
        }
    };
    let next = next.with_time(wall_ms());
    if settings.dry_run {
        let line = Line::new("would_accept").with("version", next.version);
        line.with("change", serde_json::to_value(change)?).print(settings);
        return Ok(());
    }
    let later = format!("ask `nutmegctl audit` later for change {}", next.id);
    write(&platform, &Configuration::key(next.version), &next, &later).await?;
    let line = Line::new("accepted").with("version", next.version);
    line.with("change", next.id.as_str()).print(settings);
    if let Err(error) = advance_config_head(&platform, next.version).await {
        // The hint only saves reads.
        eprintln!("hint not raised: {error}");
    }
    if let Err(error) = strip_old_presets(&platform, next.version).await {
        eprintln!("old version not thinned out: {error}");
    }
    in_force(settings, &platform, &next).await
}

/// Refuses a change that uses a name which the platform does not list.
async fn check_names(
    settings: &Settings,
    platform: &HttpPlatform,
    now: Option<&Configuration>,
    change: &Change,
) -> anyhow::Result<()> {
    let endpoints = platform.endpoints().await.map_err(|e| down(&e))?;
    let instances = admin::instances(platform).await?;
    let known = KnownNames::new(&endpoints, &instances);
    Ok(known.check_change(now, change, settings.confirm)?)
}

/// Pushes an accepted version to every instance and waits until each has it in force.
async fn in_force(
    settings: &Settings,
    platform: &HttpPlatform,
    config: &Configuration,
) -> anyhow::Result<()> {
    let instances = admin::instances(platform).await?;
    let body = serde_json::to_value(config).context("encode configuration")?;
    let start = Instant::now();
    let mut missing: Vec<_> = instances.into_iter().map(|e| (e, String::new())).collect();
    loop {
        let mut still = Vec::new();
        for (entry, _) in missing {
            let pushed =
                admin::ask(entry.admin_address, &settings.token, Method::POST, "/config", &body);
            let answer = pushed.await;
            let version = answer.as_ref().ok().and_then(|v| v.get("config")?.as_u64());
            if version.unwrap_or(0) >= config.version {
                let line = Line::new("in_force").with("instance", entry.instance.as_str());
                line.with("version", config.version).print(settings);
            } else {
                let why = answer.err().map_or("an older version".to_owned(), |e| format!("{e:#}"));
                still.push((entry, why));
            }
        }
        if still.is_empty() {
            return Ok(());
        }
        missing = still;
        if start.elapsed() >= settings.wait {
            for (entry, why) in &missing {
                let line = Line::new("not_in_force").with("instance", entry.instance.as_str());
                line.with("version", config.version).with("why", why.as_str()).print(settings);
            }
            let names: Vec<_> = missing.iter().map(|(e, _)| json!(e.instance)).collect();
            let detail = format!("accepted, but not yet in force at {}", Value::from(names));
            return Err(Failure::new(Code::NotInForce, &detail).into());
        }
        sleep(POLL).await;
    }
}

/// Returns the wall time, milliseconds since 1970, for people only.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
