//! Why a request went as it did.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::endpoint_fate::EndpointFate;
use super::{LogBook, Record};

/// How long before a refusal the lines count that tell why there was no room.
const LOOK_BACK: Duration = Duration::from_secs(10);

/// Why a request went as it did, with the lines of others that show it.
#[derive(Debug)]
pub struct Cause<'a> {
    /// A short name.
    pub name: &'static str,
    /// What happened, in words.
    pub detail: String,
    /// Lines that are not the request's own.
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

    /// Finds the cause from a request's own lines, which must not be empty, and those around them.
    pub fn find(book: &'a LogBook, own: &[&Record]) -> Self {
        let Some(last) = own.iter().rev().find(|r| is_end(r)) else {
            return own.last().map_or_else(
                || Self::new("not_seen", "no instance wrote a line about it"),
                |last| unfinished(book, last),
            );
        };
        match last.event.as_str() {
            "answered" => answered(own, last),
            "stream_ended" | "answer_ended" => ended(book, own, last),
            "client_gone" => Self::new(
                "client_left",
                format!("its client left after {} ms without an answer", last.field("ms")),
            ),
            _ => failed(book, own, last),
        }
    }
}

/// Says whether a line is a request's last word.
fn is_end(record: &Record) -> bool {
    match record.event.as_str() {
        "answered" => record.field("open") != "true",
        "stream_ended" | "answer_ended" | "client_gone" | "failed" | "refused" => true,
        _ => false,
    }
}

fn unfinished<'a>(book: &'a LogBook, last: &Record) -> Cause<'a> {
    let life = book.of(&last.instance).iter().filter(|r| r.at >= last.at);
    let end = life.into_iter().find(|r| matches!(r.event.as_str(), "started" | "cut_at_end"));
    match end {
        Some(end) if end.event == "cut_at_end" => {
            let detail = "a planned stop of its instance ended before it did";
            Cause::new("cut_by_stop", detail).with_evidence([end])
        }
        Some(end) => {
            let detail = "its instance ended without a word and started again";
            Cause::new("instance_lost", detail).with_evidence([end])
        }
        None => Cause::new("open", "no line tells of its end; its instance may have been lost"),
    }
}

fn answered<'a>(own: &[&Record], last: &Record) -> Cause<'a> {
    let status = last.field("status");
    if !status.starts_with(['4', '5']) {
        return Cause::new("served", format!("the endpoint answered {status}"));
    }
    let failed = own.iter().filter(|r| r.event == "send").map(|r| r.field("endpoint"));
    let endpoints: BTreeSet<&str> = failed.chain([last.field("endpoint")]).collect();
    let endpoints: Vec<&str> = endpoints.into_iter().collect();
    let detail =
        format!("answered {status} by the endpoint itself, tried: {}", endpoints.join(", "));
    Cause::new("endpoint_failed", detail)
}

fn ended<'a>(book: &'a LogBook, own: &[&Record], last: &Record) -> Cause<'a> {
    match last.field("end") {
        "finished" => Cause::new("served", "the client has the whole answer"),
        "client_gone" => {
            let detail = format!("its client left after {} events", last.field("events"));
            Cause::new("client_left", detail)
        }
        "overdue" => Cause::new("out_of_time", "its time passed while the answer was under way"),
        _ => lost(book, own, last),
    }
}

/// Explains an answer that an endpoint broke off or never gave.
fn lost<'a>(book: &'a LogBook, own: &[&Record], last: &Record) -> Cause<'a> {
    let endpoint = last.field("endpoint");
    let (fate, evidence) = EndpointFate::find(book, endpoint, last.at);
    let step = own.iter().rev().find(|r| matches!(r.event.as_str(), "copied" | "stopped_run"));
    let copy = step.map_or_else(
        || "no copy of it was begun".to_owned(),
        |s| format!("the last step of taking it along was {} with {}", s.event, s.field("end")),
    );
    let cause = match fate {
        EndpointFate::Left => Cause::new("endpoint_left", format!("{endpoint} left; {copy}")),
        EndpointFate::Died => Cause::new("endpoint_died", format!("{endpoint} died with it")),
        EndpointFate::Stayed => {
            let detail = format!("the connection to {endpoint} broke, and it stayed");
            Cause::new("connection_lost", detail)
        }
    };
    cause.with_evidence(evidence)
}

fn failed<'a>(book: &'a LogBook, own: &[&Record], last: &Record) -> Cause<'a> {
    let code: u16 = last.field("code").parse().unwrap_or_default();
    let is = |known: Code| known.number() == code;
    if is(Code::NoRoom) || is(Code::TooLate) {
        return no_room(book, own, last);
    }
    if is(Code::OutcomeUnknown) {
        return lost(book, own, last);
    }
    if is(Code::DeadlinePassed) {
        let detail = format!("{} had it and did not answer in time", last.field("endpoint"));
        return Cause::new("endpoint_silent", detail);
    }
    if is(Code::UnknownKey) || is(Code::NoRoute) || is(Code::Outdated) {
        return by_config(book, last);
    }
    Cause::new("refused", format!("code {code}, {}: {}", last.field("name"), last.field("why")))
}

/// Explains why no endpoint had room by what changed at the same instance shortly before.
fn no_room<'a>(book: &'a LogBook, own: &[&Record], last: &Record) -> Cause<'a> {
    let from = last.at.saturating_sub(LOOK_BACK);
    let of_instance = book.of(&last.instance).iter();
    let recent: Vec<&Record> = of_instance.filter(|r| (from..=last.at).contains(&r.at)).collect();
    let count = |event: &str| recent.iter().filter(|r| r.event == event).count();
    let (left, joined) = (count("endpoint_left"), count("endpoint_joined"));
    let away =
        recent.iter().rev().find(|r| matches!(r.event.as_str(), "store_away" | "store_back"));
    let away = away.copied().filter(|r| r.event == "store_away");
    let out = recent.iter().rev().find(|r| r.event == "domains_out").copied();
    let (full, unreached) = (sends(own, "refused"), sends(own, "not_sent"));
    let away_text = if away.is_some() { ", the store was away" } else { "" };
    let out_text =
        out.map_or(String::new(), |r| format!(", failure domains out: {:?}", r.field("domains")));
    let detail = format!(
        "{}; {full} endpoints said that they are full, {unreached} were not reached; in the {} s before, \
         {left} endpoints left and {joined} came{away_text}{out_text}",
        last.field("why"),
        LOOK_BACK.as_secs(),
    );
    Cause::new("no_room", detail).with_evidence(away.into_iter().chain(out))
}

/// Explains a refusal by the configuration in force and the next one.
fn by_config<'a>(book: &'a LogBook, last: &Record) -> Cause<'a> {
    let of_instance = book.of(&last.instance).iter();
    let next = of_instance.into_iter().find(|r| r.event == "config" && r.at >= last.at);
    let later = next.map_or_else(
        || "no later version came here".to_owned(),
        |n| {
            let after = (n.at.saturating_sub(last.at)).as_millis();
            format!("version {} came here {after} ms later", n.field("new"))
        },
    );
    let detail = format!("version {}: {}; {later}", last.field("config"), last.field("why"));
    let is_outdated = last.field("code") == Code::Outdated.number().to_string();
    Cause::new(if is_outdated { "outdated" } else { "not_allowed" }, detail).with_evidence(next)
}

/// Counts the sends of a request that ended so.
fn sends(own: &[&Record], end: &str) -> usize {
    own.iter().filter(|r| r.event == "send" && r.field("end") == end).count()
}
