//! `nutmegctl explain REQUEST`.

use std::time::SystemTime;

use http::Method;
use nutmeggrade_core::prelude::*;
use serde_json::Value;

use crate::admin;
use crate::line::Line;
use crate::logs::{Cause, LogBook, Record};
use crate::settings::Settings;

/// Tells what every instance that saw a request decided about it, by their own memory or their logs.
pub async fn show(settings: &Settings, request: &str) -> anyhow::Result<()> {
    let request = RequestId::new(request)?;
    if settings.logs.is_empty() {
        return from_memory(settings, &request).await;
    }
    from_logs(settings, &request)
}

/// Tells it from logs, which outlast the processes, and names the cause.
fn from_logs(settings: &Settings, request: &RequestId) -> anyhow::Result<()> {
    let files: Vec<&str> = settings.logs.split(',').collect();
    let book = LogBook::load(&files)?;
    let own = book.of_request(request.as_str());
    let Some(first) = own.first() else {
        let ends = book.sudden_ends();
        for (last, next) in &ends {
            Line::new("instance_lost")
                .with("instance", next.instance.clone())
                .with("last_line", time(last))
                .with("started", time(next))
                .print(settings);
        }
        let detail = format!("no line is about {request}; {} instances were lost", ends.len());
        return Err(Failure::new(Code::RequestUnknown, &detail).into());
    };
    for record in &own {
        let after = record.at.saturating_sub(first.at);
        step("step", record)
            .with("after_ms", u64::try_from(after.as_millis()).unwrap_or(u64::MAX))
            .print(settings);
    }
    let cause = Cause::find(&book, &own);
    for record in &cause.evidence {
        step("around", record).print(settings);
    }
    Line::new("cause").with("name", cause.name).with("detail", cause.detail).print(settings);
    Ok(())
}

fn step(event: &'static str, record: &Record) -> Line {
    let line = Line::new(event).with("instance", record.instance.clone()).with("ts", time(record));
    line.with("step", record.event.clone()).with("detail", record.detail())
}

fn time(record: &Record) -> String {
    humantime::format_rfc3339_millis(SystemTime::UNIX_EPOCH + record.at).to_string()
}

async fn from_memory(settings: &Settings, request: &RequestId) -> anyhow::Result<()> {
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
