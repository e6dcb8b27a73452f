//! `nutmegctl audit`.

use std::collections::BTreeMap;

use http::Method;
use nutmeggrade_core::prelude::*;
use serde_json::Value;

use crate::admin;
use crate::change::{history, platform};
use crate::line::Line;
use crate::settings::Settings;

/// Lists every accepted change, oldest first.
///
/// While the platform is down the instances of `--admin` are asked for what they keep.
pub async fn show(settings: &Settings) -> anyhow::Result<()> {
    match history(&platform(settings)).await {
        Ok(history) => {
            for config in history {
                print(settings, &serde_json::to_value(&config)?, "platform");
            }
            Ok(())
        }
        Err(error) if settings.admin.is_empty() => Err(error),
        Err(error) => {
            eprintln!("nutmegctl: {error:#}; asking the instances of --admin");
            from_instances(settings).await
        }
    }
}

async fn from_instances(settings: &Settings) -> anyhow::Result<()> {
    let mut kept = BTreeMap::new();
    let mut answered = false;
    for address in &settings.admin {
        let asked = admin::ask(*address, &settings.token, Method::GET, "/audit", &Value::Null);
        match asked.await {
            Ok(list) => {
                answered = true;
                let rows = list.get("changes").and_then(Value::as_array).cloned();
                for row in rows.unwrap_or_default() {
                    let version = row.get("version").and_then(Value::as_u64).unwrap_or(0);
                    kept.insert(version, row);
                }
            }
            Err(error) => eprintln!("nutmegctl: {address}: {error:#}"),
        }
    }
    if !answered {
        let detail = "neither the platform nor an instance of --admin answers";
        return Err(Failure::new(Code::PlatformDown, detail).into());
    }
    for row in kept.values() {
        print(settings, row, "instances");
    }
    Ok(())
}

fn print(settings: &Settings, row: &Value, source: &str) {
    let names = ["version", "id", "at_ms", "who", "why", "change"];
    let with = |line: Line, name| line.with(name, row.get(name).cloned().unwrap_or_default());
    names.into_iter().fold(Line::new("change"), with).with("source", source).print(settings);
}
