//! `nutmegctl explain REQUEST`.

use http::Method;
use nutmeggrade_core::prelude::*;
use serde_json::Value;

use crate::admin;
use crate::line::Line;
use crate::settings::Settings;

/// Tells what every instance that saw a request decided about it.
pub async fn show(settings: &Settings, request: &str) -> anyhow::Result<()> {
    let request = RequestId::new(request)?;
    let path = format!("/explain/{request}");
    let mut seen = false;
    for (name, address) in admin::reachable(settings).await? {
        let asked = admin::ask(address, &settings.token, Method::GET, &path, &Value::Null).await;
        match asked {
            Ok(record) => {
                seen = true;
                print(settings, &record);
            }
            Err(error) if admin::is(&error, Code::RequestUnknown) => {}
            Err(error) => admin::unreachable(settings, &name, error)?,
        }
    }
    if seen {
        return Ok(());
    }
    let detail = format!("no instance that answered remembers {request}");
    Err(Failure::new(Code::RequestUnknown, &detail).into())
}

fn print(settings: &Settings, record: &Value) {
    let instance = record.get("instance").cloned().unwrap_or_default();
    for step in record.get("steps").and_then(Value::as_array).into_iter().flatten() {
        let field = |name: &str| step.get(name).cloned().unwrap_or_default();
        let line = Line::new("step").with("instance", instance.clone());
        let line = line.with("after_ms", field("after_ms")).with("step", field("step"));
        line.with("detail", field("detail")).print(settings);
    }
}
