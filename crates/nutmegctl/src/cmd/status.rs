//! `nutmegctl status`.

use http::Method;
use serde_json::Value;

use crate::admin;
use crate::change::platform;
use crate::settings::Settings;

/// Shows what each instance has in force.
pub async fn show(settings: &Settings) -> anyhow::Result<()> {
    for entry in admin::instances(&platform(settings)).await? {
        let asked =
            admin::ask(entry.admin_address, &settings.token, Method::GET, "/status", &Value::Null);
        match asked.await {
            Ok(status) => {
                let field = |name: &str| status.get(name).cloned().unwrap_or_default();
                println!(
                    "instance={} domain={} config={} preset={} out_domains={} waiting={}",
                    entry.instance,
                    entry.domain,
                    field("config"),
                    field("preset"),
                    field("out_domains"),
                    field("waiting")
                );
            }
            Err(error) => println!("instance={} error={error:#}", entry.instance),
        }
    }
    Ok(())
}
