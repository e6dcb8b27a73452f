//! `nutmegctl explain REQUEST`.

use std::time::SystemTime;

use http::Method;
use nutmeggrade_core::prelude::*;
use serde_json::Value;

use crate::admin;
use crate::line::Line;
use crate::logs::{Cause, InstanceLogs, Record};
use crate::settings::Settings;

/// Prints the decisions of instances about a request, from their memory or from log files.
pub async fn show(settings: &Settings, request: &str) -> anyhow::Result<()> {
    let request = RequestId::new(request)?;
    if settings.logs.is_empty() {
        return from_memory(settings, &request).await;
    }
    from_logs(settings, &request)
}

/// Prints the decisions from log files, which outlive the processes, and the cause of the outcome.
fn from_logs(settings: &Settings, request: &RequestId) -> anyhow::Result<()> {
    let files: Vec<&str> = settings.logs.split(',').collect();
    let logs = InstanceLogs::load(&files)?;
    let request_lines = logs.lines_of_request(request.as_str());
    let Some(first) = request_lines.first() else {
        let restarts = logs.unclean_restarts();
        for (last, next) in &restarts {
            Line::new("instance_lost")
                .with("instance", next.instance.clone())
                .with("last_line", format_time(last))
                .with("started", format_time(next))
                .print(settings);
        }
        let detail = format!(
            "no log line about {request}; {} restarts without a logged stop",
            restarts.len()
        );
        return Err(Failure::new(Code::RequestUnknown, &detail).into());
    };
    for record in &request_lines {
        let after = record.at.saturating_sub(first.at);
        step_line("step", record)
            .with("after_ms", u64::try_from(after.as_millis()).unwrap_or(u64::MAX))
            .print(settings);
    }
    let cause = Cause::find(&logs, &request_lines);
    for record in &cause.evidence {
        step_line("around", record).print(settings);
    }
    Line::new("cause").with("name", cause.name).with("detail", cause.detail).print(settings);
    Ok(())
}

fn step_line(event: &'static str, record: &Record) -> Line {
    let line =
        Line::new(event).with("instance", record.instance.clone()).with("ts", format_time(record));
    line.with("step", record.event.clone()).with("detail", record.detail())
}

fn format_time(record: &Record) -> String {
    humantime::format_rfc3339_millis(SystemTime::UNIX_EPOCH + record.at).to_string()
}

async fn from_memory(settings: &Settings, request: &RequestId) -> anyhow::Result<()> {
    let path = format!("/explain/{request}");
    let mut is_found = false;
    for (name, address) in admin::addresses(settings).await? {
        let response =
            admin::send_request(address, &settings.token, Method::GET, &path, &Value::Null).await;
        match response {
            Ok(record) => {
                is_found = true;
                print(settings, &record);
            }
            Err(error) if admin::has_code(&error, Code::RequestUnknown) => {}
            Err(error) => admin::report_unreachable(settings, &name, error)?,
        }
    }
    if is_found {
        return Ok(());
    }
    let detail = format!("no instance that responded has a record of {request}");
    Err(Failure::new(Code::RequestUnknown, &detail).into())
}

fn print(settings: &Settings, record: &Value) {
    let instance = record.get("instance").cloned().unwrap_or_default();
    for entry in record.get("steps").and_then(Value::as_array).into_iter().flatten() {
        let field = |name: &str| entry.get(name).cloned().unwrap_or_default();
        let line = Line::new("step").with("instance", instance.clone());
        let line = line.with("after_ms", field("after_ms")).with("step", field("step"));
        line.with("detail", field("detail")).print(settings);
    }
}
