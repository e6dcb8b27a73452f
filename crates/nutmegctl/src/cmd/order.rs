//! `nutmegctl order show|load|unload|role`.

use nutmeggrade_core::order::{ModelRef, Order, Role};
use nutmeggrade_core::prelude::*;
use serde_json::Value;

use crate::line::Line;
use crate::order_change::{order_history, print_status, read_status, submit_order};
use crate::platform::platform_client;
use crate::settings::Settings;

/// Prints the orders to an engine and their status.
pub async fn show(settings: &Settings, endpoint: &str) -> anyhow::Result<()> {
    let endpoint = EndpointId::new(endpoint)?;
    let platform = platform_client(settings)?;
    for order in order_history(&platform, &endpoint).await? {
        let line = Line::new("order").with("version", order.version).with("at_ms", order.at_ms);
        let line = line.with("who", order.who.as_str()).with("why", order.why.as_str());
        line.with("order", order.change.to_string()).print(settings);
    }
    match read_status(&platform, &endpoint).await? {
        Some(status) => print_status(settings, "effect", &status),
        None => Ok(()),
    }
}

/// Orders an engine to load a model, version or adapter.
pub async fn load(settings: &Settings, endpoint: &str, load: &str) -> anyhow::Result<()> {
    submit_order(settings, &EndpointId::new(endpoint)?, &Order::Load { load: parse_load(load)? })
        .await
}

/// Orders an engine to unload a model, version or adapter.
pub async fn unload(settings: &Settings, endpoint: &str, load: &str) -> anyhow::Result<()> {
    submit_order(settings, &EndpointId::new(endpoint)?, &Order::Unload { load: parse_load(load)? })
        .await
}

/// Orders an engine to change its role.
pub async fn role(settings: &Settings, endpoint: &str, role: &str) -> anyhow::Result<()> {
    let parsed: Result<Role, _> = serde_json::from_value(Value::from(role));
    let role = parsed.map_err(|e| {
        let detail = format!("role {role:?}: {e}");
        Failure::new(Code::BadChange, &detail)
    })?;
    submit_order(settings, &EndpointId::new(endpoint)?, &Order::Role { role }).await
}

fn parse_load(text: &str) -> Result<ModelRef, Failure> {
    ModelRef::parse(text).map_err(|e| Failure::new(Code::BadChange, &e.to_string()))
}
