//! `nutmegctl status`.

use http::Method;
use serde_json::Value;

use crate::admin;
use crate::line::Line;
use crate::settings::Settings;

const STATUS_FIELDS: [&str; 7] =
    ["instance", "domain", "config", "preset", "out_domains", "out_endpoints", "waiting"];

/// Prints the status of each instance.
pub async fn show(settings: &Settings) -> anyhow::Result<()> {
    for (name, address) in admin::addresses(settings).await? {
        let response =
            admin::send_request(address, &settings.token, Method::GET, "/status", &Value::Null);
        match response.await {
            Ok(status) => {
                let add_field = |line: Line, name: &'static str| {
                    line.with(name, status.get(name).cloned().unwrap_or_default())
                };
                STATUS_FIELDS.into_iter().fold(Line::new("status"), add_field).print(settings);
            }
            Err(error) => admin::report_unreachable(settings, &name, error)?,
        }
    }
    Ok(())
}
