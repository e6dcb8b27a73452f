//! A line of an instance's log.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Fields that every line has, or that are printed separately.
const COMMON_FIELDS: [&str; 4] = ["ts", "level", "event", "request"];

/// A parsed line of an instance's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The instance that wrote the line.
    pub instance: String,
    /// Time since the Unix epoch by the wall clock of the instance's machine.
    pub at: Duration,
    /// Name of the event.
    pub event: String,
    fields: BTreeMap<String, String>,
}

impl Record {
    /// Parses a line; returns `None` if it isn't a log line of an instance.
    ///
    /// Log collectors prefix lines with the machine's name, often after a timestamp. The last word
    /// before `ts=` is taken as the instance's name; without one it is the name of the file.
    pub fn parse(line: &str, file: &str) -> Option<Self> {
        let start = line.find("ts=")?;
        let (prefix, pairs) = line.split_at(start);
        let pairs = logfmt::parse(pairs);
        let mut fields: BTreeMap<String, String> =
            pairs.into_iter().map(|p| (p.key, p.val.unwrap_or_default())).collect();
        let time = humantime::parse_rfc3339(fields.get("ts")?).ok()?;
        let at = time.duration_since(SystemTime::UNIX_EPOCH).ok()?;
        let event = fields.remove("event")?;
        let instance = prefix.split_whitespace().last().unwrap_or(file).to_owned();
        Some(Self { instance, at, event, fields })
    }

    /// Returns the value of a field; empty if the line doesn't have it.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns whether the line is about the endpoint.
    pub fn is_of_endpoint(&self, endpoint: &str) -> bool {
        self.field("endpoint") == endpoint
    }

    /// Returns the event's own fields in logfmt.
    pub fn detail(&self) -> String {
        let event_fields =
            self.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let quoted = |text: &str| {
            let is_plain = !text.is_empty() && !text.contains([' ', '"', '=']);
            if is_plain { text.to_owned() } else { format!("{text:?}") }
        };
        let parts: Vec<String> =
            event_fields.map(|(name, text)| format!("{name}={}", quoted(text))).collect();
        parts.join(" ")
    }
}
