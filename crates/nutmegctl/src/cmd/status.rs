//! `nutmegctl status`.

use http::Method;
use serde_json::Value;

use crate::admin;
use crate::line::Line;
use crate::settings::Settings;

const FIELDS: [&str; 7] =
    ["instance", "domain", "config", "preset", "out_domains", "out_endpoints", "waiting"];

/// Shows what each instance has in force.
pub async fn show(settings: &Settings) -> anyhow::Result<()> {
    for (name, address) in admin::reachable(settings).await? {
        let asked = admin::ask(address, &settings.token, Method::GET, "/status", &Value::Null);
        match asked.await {
            Ok(status) => {
                let with = |line: Line, name: &'static str| {
                    line.with(name, status.get(name).cloned().unwrap_or_default())
                };
                FIELDS.into_iter().fold(Line::new("status"), with).print(settings);
            }
            Err(error) => admin::unreachable(settings, &name, error)?,
        }
    }
    Ok(())
}
