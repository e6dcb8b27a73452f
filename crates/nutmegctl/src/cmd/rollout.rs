//! `nutmegctl rollout list`.

use http::Method;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{ROLLOUTS_PATH, RolloutStatus};
use serde_json::Value;

use crate::admin;
use crate::line::Line;
use crate::settings::Settings;

/// Lists the rollouts of each instance of `--admin`.
pub async fn list(settings: &Settings) -> anyhow::Result<()> {
    if settings.admin.is_empty() {
        let detail = "--admin must list the control address of at least one instance";
        return Err(Failure::new(Code::SettingMissing, detail).into());
    }
    for address in &settings.admin {
        let response = admin::send_request(
            *address,
            &settings.token,
            Method::GET,
            ROLLOUTS_PATH,
            &Value::Null,
        );
        match response.await {
            Ok(list) => print(settings, &address.to_string(), list)?,
            Err(error) => admin::report_unreachable(settings, &address.to_string(), error)?,
        }
    }
    Ok(())
}

fn print(settings: &Settings, instance: &str, list: Value) -> anyhow::Result<()> {
    let statuses: Vec<RolloutStatus> = serde_json::from_value(list)?;
    for rollout in statuses {
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
