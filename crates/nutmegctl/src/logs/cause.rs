//! The cause of a request's outcome.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::endpoint_change::EndpointChange;
use super::{InstanceLogs, Record};

/// Time before a refusal in which log lines are considered as its cause.
const NO_ROOM_WINDOW: Duration = Duration::from_secs(10);

/// The cause of a request's outcome, with log lines of other components as evidence.
#[derive(Debug)]
pub struct Cause<'a> {
    /// Short identifier of the cause.
    pub name: &'static str,
    /// Description for operators.
    pub detail: String,
    /// Supporting lines that are not about the request itself.
    pub evidence: Vec<&'a Record>,
}

impl<'a> Cause<'a> {
    fn new(name: &'static str, detail: impl Into<String>) -> Self {
        Self { name, detail: detail.into(), evidence: Vec::new() }
    }

    fn with_evidence(mut self, evidence: impl IntoIterator<Item = &'a Record>) -> Self {
        self.evidence.extend(evidence);
        self
    }

    /// Determines the cause from a request's own lines and the lines around them.
    pub fn find(logs: &'a InstanceLogs, request_lines: &[&Record]) -> Self {
        let Some(last) = find_final(request_lines) else {
            return request_lines.last().map_or_else(
                || Self::new("not_seen", "no instance logged the request"),
                |last| explain_unfinished(logs, last),
            );
        };
        match last.event.as_str() {
            "answered" => explain_response(request_lines, last),
            "stream_ended" | "answer_ended" => explain_end(logs, request_lines, last),
            "client_gone" => Self::new(
                "client_left",
                format!("its client disconnected after {} ms without a response", last.field("ms")),
            ),
            _ => explain_failure(logs, request_lines, last),
        }
    }
}

/// Finds the line that records the end of a request. If a peer served it, that is the peer's line,
/// which names the endpoint.
fn find_final<'r, 'a>(request_lines: &'r [&'a Record]) -> Option<&'r &'a Record> {
    let has_forwarded = has_forwarded(request_lines, "answered");
    let mut finals = request_lines.iter().rev().filter(|r| is_final(r));
    let by_peer = finals.clone().find(|r| has_forwarded && r.field("endpoint") != "-");
    by_peer.or_else(|| finals.next())
}

/// Returns whether the request was forwarded to a peer with this result.
fn has_forwarded(request_lines: &[&Record], end: &str) -> bool {
    request_lines.iter().any(|r| r.event == "forwarded" && r.field("end") == end)
}

/// Returns whether a line records the end of a request.
fn is_final(record: &Record) -> bool {
    match record.event.as_str() {
        "answered" => record.field("open") != "true",
        "stream_ended" | "answer_ended" | "client_gone" | "failed" | "refused" => true,
        _ => false,
    }
}

fn explain_unfinished<'a>(logs: &'a InstanceLogs, last: &Record) -> Cause<'a> {
    let later_lines = logs.lines_of(&last.instance).iter().filter(|r| r.at >= last.at);
    let stop =
        later_lines.into_iter().find(|r| matches!(r.event.as_str(), "started" | "cut_at_end"));
    match stop {
        Some(line) if line.event == "cut_at_end" => {
            let detail = "its instance was stopped as planned before the request ended";
            Cause::new("cut_by_stop", detail).with_evidence([line])
        }
        Some(line) => {
            let detail = "its instance restarted without a logged stop";
            Cause::new("instance_lost", detail).with_evidence([line])
        }
        None => Cause::new("open", "no log line reports its end; its instance may have crashed"),
    }
}

fn explain_response<'a>(request_lines: &[&Record], last: &Record) -> Cause<'a> {
    let status = last.field("status");
    if !status.starts_with(['4', '5']) {
        return Cause::new("served", format!("the endpoint answered {status}"));
    }
    let tried = request_lines.iter().filter(|r| r.event == "send").map(|r| r.field("endpoint"));
    let endpoints: BTreeSet<&str> = tried.chain([last.field("endpoint")]).collect();
    let endpoints: Vec<&str> = endpoints.into_iter().collect();
    let detail = format!("an endpoint answered {status}, tried: {}", endpoints.join(", "));
    Cause::new("endpoint_failed", detail)
}

fn explain_end<'a>(logs: &'a InstanceLogs, request_lines: &[&Record], last: &Record) -> Cause<'a> {
    match last.field("end") {
        "finished" => Cause::new("served", "the client received the whole response"),
        "client_gone" => {
            let detail = format!("its client disconnected after {} events", last.field("events"));
            Cause::new("client_left", detail)
        }
        "overdue" => {
            Cause::new("out_of_time", "its deadline passed while the response was being sent")
        }
        _ => explain_lost(logs, request_lines, last),
    }
}

/// Explains a response that an endpoint broke off or never sent.
fn explain_lost<'a>(logs: &'a InstanceLogs, request_lines: &[&Record], last: &Record) -> Cause<'a> {
    let endpoint = last.field("endpoint");
    let (change, evidence) = EndpointChange::find(logs, endpoint, last.at);
    let move_step =
        request_lines.iter().rev().find(|r| matches!(r.event.as_str(), "copied" | "stopped_run"));
    let move_text = move_step.map_or_else(
        || "no copy of it was started".to_owned(),
        |s| format!("the last step of its move was {} with {}", s.event, s.field("end")),
    );
    let cause = match change {
        EndpointChange::Left => {
            Cause::new("endpoint_left", format!("{endpoint} left; {move_text}"))
        }
        EndpointChange::Crashed => Cause::new(
            "endpoint_died",
            format!("{endpoint} crashed while it processed the request"),
        ),
        EndpointChange::Unchanged if has_ended_within_event(request_lines) => {
            let detail = format!("{endpoint} ended its response within an event, and remained");
            Cause::new("answer_truncated", detail)
        }
        EndpointChange::Unchanged => {
            let detail = format!("the connection to {endpoint} broke, but the endpoint remained");
            Cause::new("connection_lost", detail)
        }
    };
    cause.with_evidence(evidence)
}

/// Returns whether the stream's last run ended within an event.
fn has_ended_within_event(request_lines: &[&Record]) -> bool {
    let last = request_lines.iter().rev().find(|r| r.event == "stream_broke");
    last.is_some_and(|r| r.field("why") == "ended within an event")
}

fn explain_failure<'a>(
    logs: &'a InstanceLogs,
    request_lines: &[&Record],
    last: &Record,
) -> Cause<'a> {
    let code: u16 = last.field("code").parse().unwrap_or_default();
    let has_code = |expected: Code| expected.number() == code;
    if has_code(Code::NoRoom) || has_code(Code::TooLate) {
        return explain_no_room(logs, request_lines, last);
    }
    if has_code(Code::OutcomeUnknown) && has_forwarded(request_lines, "lost") {
        let detail = "the peer that served it for its instance was lost with the response";
        return Cause::new("peer_lost", detail);
    }
    if has_code(Code::OutcomeUnknown) {
        return explain_lost(logs, request_lines, last);
    }
    if has_code(Code::DeadlinePassed) {
        let detail = format!("{} had it and did not answer in time", last.field("endpoint"));
        return Cause::new("endpoint_silent", detail);
    }
    if has_code(Code::CutOff) {
        return explain_cut_off(logs, last);
    }
    if has_code(Code::UnknownKey) || has_code(Code::NoRoute) || has_code(Code::Outdated) {
        return explain_by_config(logs, last);
    }
    Cause::new("refused", format!("code {code}, {}: {}", last.field("name"), last.field("why")))
}

/// Explains a lack of room by events at the same instance shortly before.
fn explain_no_room<'a>(
    logs: &'a InstanceLogs,
    request_lines: &[&Record],
    last: &Record,
) -> Cause<'a> {
    let since = last.at.saturating_sub(NO_ROOM_WINDOW);
    let of_instance = logs.lines_of(&last.instance).iter();
    let recent: Vec<&Record> = of_instance.filter(|r| (since..=last.at).contains(&r.at)).collect();
    let count = |event: &str| recent.iter().filter(|r| r.event == event).count();
    let (left, joined) = (count("endpoint_left"), count("endpoint_joined"));
    let store_lost =
        recent.iter().rev().find(|r| matches!(r.event.as_str(), "store_away" | "store_back"));
    let store_lost = store_lost.copied().filter(|r| r.event == "store_away");
    let domains_out = recent.iter().rev().find(|r| r.event == "domains_out").copied();
    let (full, unreached) =
        (count_sends(request_lines, "refused"), count_sends(request_lines, "not_sent"));
    let store_text = if store_lost.is_some() { ", the store was away" } else { "" };
    let domains_text = domains_out
        .map_or(String::new(), |r| format!(", failure domains out: {:?}", r.field("domains")));
    let detail = format!(
        "{}; {full} endpoints reported no room, {unreached} were not reached; in the {} s before, \
         {left} endpoints left and {joined} came{store_text}{domains_text}",
        last.field("why"),
        NO_ROOM_WINDOW.as_secs(),
    );
    Cause::new("no_room", detail).with_evidence(store_lost.into_iter().chain(domains_out))
}

/// Explains that no endpoint could be connected to, by when that began at the instance.
fn explain_cut_off<'a>(logs: &'a InstanceLogs, last: &Record) -> Cause<'a> {
    let of_instance = logs.lines_of(&last.instance).iter();
    let began = of_instance.rev().find(|r| r.event == "service_cut_off" && r.at <= last.at);
    let detail = format!("{}; no peer could serve it", last.field("why"));
    Cause::new("cut_off", detail).with_evidence(began)
}

/// Explains a refusal by the configuration in force and the next version.
fn explain_by_config<'a>(logs: &'a InstanceLogs, last: &Record) -> Cause<'a> {
    let of_instance = logs.lines_of(&last.instance).iter();
    let next = of_instance.into_iter().find(|r| r.event == "config" && r.at >= last.at);
    let next_text = next.map_or_else(
        || "no later version came here".to_owned(),
        |n| {
            let delay_ms = (n.at.saturating_sub(last.at)).as_millis();
            format!("version {} came here {delay_ms} ms later", n.field("new"))
        },
    );
    let detail = format!("version {}: {}; {next_text}", last.field("config"), last.field("why"));
    let is_outdated = last.field("code") == Code::Outdated.number().to_string();
    Cause::new(if is_outdated { "outdated" } else { "not_allowed" }, detail).with_evidence(next)
}

/// Counts the sends of a request that ended with `end`.
fn count_sends(request_lines: &[&Record], end: &str) -> usize {
    request_lines.iter().filter(|r| r.event == "send" && r.field("end") == end).count()
}
