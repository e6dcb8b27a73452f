//! `nutmegctl audit`.

use http::Method;
use nutmeggrade_core::audit::{AUDIT_PREFIX, AuditEntry};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::recent_changes::AcceptedChange;
use serde_json::Value;

use crate::admin;
use crate::audit_trail::{AuditTrail, Row};
use crate::change::config_history;
use crate::line::Line;
use crate::platform::{platform_client, platform_down};
use crate::settings::Settings;

/// Prints every accepted change, and the actions and refusals of instances.
///
/// While the platform is down, the trail comes from the instances of `--admin`, which keep a part.
pub async fn show(settings: &Settings) -> anyhow::Result<()> {
    let (trail, source) = match from_platform(settings).await {
        Ok(trail) => (trail, "platform"),
        Err(error) if settings.admin.is_empty() => return Err(error),
        Err(error) => {
            eprintln!("nutmegctl: {error:#}; querying the instances of --admin");
            (from_instances(settings).await?, "instances")
        }
    };
    for row in trail.rows() {
        print(settings, row, source);
    }
    Ok(())
}

async fn from_platform(settings: &Settings) -> anyhow::Result<AuditTrail> {
    let platform = platform_client(settings)?;
    let mut trail = AuditTrail::new();
    for config in config_history(&platform).await? {
        trail.add_change(AcceptedChange::new(&config));
    }
    let listed = platform.list(AUDIT_PREFIX).await.map_err(|e| platform_down(&e))?;
    for value in listed.objects.into_iter().filter_map(|o| o.value) {
        trail.add_entry(serde_json::from_value(value)?);
    }
    Ok(trail)
}

async fn from_instances(settings: &Settings) -> anyhow::Result<AuditTrail> {
    let mut trail = AuditTrail::new();
    let mut has_response = false;
    for address in &settings.admin {
        let response =
            admin::send_request(*address, &settings.token, Method::GET, "/audit", &Value::Null);
        match response.await {
            Ok(list) => {
                has_response = true;
                add_rows(&mut trail, &list)?;
            }
            Err(error) => eprintln!("nutmegctl: {address}: {error:#}"),
        }
    }
    if has_response {
        return Ok(trail);
    }
    let detail = "neither the platform nor any instance of --admin responds";
    Err(Failure::new(Code::PlatformDown, detail).into())
}

fn add_rows(trail: &mut AuditTrail, list: &Value) -> anyhow::Result<()> {
    let rows = |name: &str| list.get(name).cloned().unwrap_or_default();
    let changes: Vec<AcceptedChange> = serde_json::from_value(rows("changes"))?;
    let entries: Vec<AuditEntry> = serde_json::from_value(rows("entries"))?;
    for change in changes {
        trail.add_change(change);
    }
    for entry in entries {
        trail.add_entry(entry);
    }
    Ok(())
}

fn print(settings: &Settings, row: &Row, source: &str) {
    let line = match row {
        Row::Change(change) => Line::new("change")
            .with("version", change.version)
            .with("at_ms", change.at_ms)
            .with("who", change.who.as_str())
            .with("why", change.why.as_str())
            .with("change", change.change.as_str())
            .with("id", change.id.as_str()),
        Row::Entry(entry) => Line::new(entry.event.as_str())
            .with("instance", entry.instance.as_str())
            .with("at_ms", entry.at_ms)
            .with("config", entry.config)
            .with("detail", entry.detail.as_str())
            .with("repeats", entry.repeats),
    };
    line.with("source", source).print(settings);
}
