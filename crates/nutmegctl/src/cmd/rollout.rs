//! `nutmegctl rollout list`.

use http::Method;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{ROLLOUTS_PATH, RolloutStatus};
use serde_json::Value;

use crate::admin;
use crate::line::Line;
use crate::settings::Settings;

/// Lists the roll-outs as the instances of `--admin` know them.
pub async fn list(settings: &Settings) -> anyhow::Result<()> {
    if settings.admin.is_empty() {
        let detail = "--admin names no instance; give the control addresses of some";
        return Err(Failure::new(Code::SettingMissing, detail).into());
    }
    for address in &settings.admin {
        let asked = admin::ask(*address, &settings.token, Method::GET, ROLLOUTS_PATH, &Value::Null);
        match asked.await {
            Ok(all) => print(settings, &address.to_string(), all)?,
            Err(error) => admin::unreachable(settings, &address.to_string(), error)?,
        }
    }
    Ok(())
}

fn print(settings: &Settings, instance: &str, all: Value) -> anyhow::Result<()> {
    let all: Vec<RolloutStatus> = serde_json::from_value(all)?;
    for rollout in all {
        Line::new("rollout")
            .with("instance", instance)
            .with("service", rollout.service.as_str())
            .with("version", rollout.version.as_str())
            .with("phase", rollout.phase)
            .with("share", rollout.share)
            .with("age_ms", rollout.age_ms)
            .with("duration_ms", rollout.duration_ms)
            .with("verdict", rollout.verdict)
            .with("requests", rollout.requests)
            .with("exposed", rollout.exposed)
            .with("new_answers", rollout.new[0])
            .with("new_failures", rollout.new[1])
            .with("old_answers", rollout.old[0])
            .with("old_failures", rollout.old[1])
            .print(settings);
    }
    Ok(())
}
