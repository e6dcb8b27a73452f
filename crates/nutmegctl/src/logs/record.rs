//! One line of an instance's log.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Fields that every line has, or that are shown in another way.
const COMMON: [&str; 4] = ["ts", "level", "event", "request"];

/// One line of an instance's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Who wrote it.
    pub instance: String,
    /// When, since the Unix epoch, by the clock of its machine.
    pub at: Duration,
    /// What happened.
    pub event: String,
    fields: BTreeMap<String, String>,
}

impl Record {
    /// Reads a line; `None` if it is no log line of an instance.
    ///
    /// Collectors put the name of the machine, and often a time of their own, before a line. The last word
    /// before the line's own time is taken for the instance, or the name of the file if there is none.
    pub fn parse(line: &str, file: &str) -> Option<Self> {
        let start = line.find("ts=")?;
        let (before, own) = line.split_at(start);
        let pairs = logfmt::parse(own);
        let mut fields: BTreeMap<String, String> =
            pairs.into_iter().map(|p| (p.key, p.val.unwrap_or_default())).collect();
        let time = humantime::parse_rfc3339(fields.get("ts")?).ok()?;
        let at = time.duration_since(SystemTime::UNIX_EPOCH).ok()?;
        let event = fields.remove("event")?;
        let instance = before.split_whitespace().last().unwrap_or(file).to_owned();
        Some(Self { instance, at, event, fields })
    }

    /// Returns a field's text; empty if the line does not have it.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Says whether the line is about that endpoint.
    pub fn is_of_endpoint(&self, endpoint: &str) -> bool {
        self.field("endpoint") == endpoint
    }

    /// Returns the fields that are the line's own, as they are written in logs.
    pub fn detail(&self) -> String {
        let own = self.fields.iter().filter(|(name, _)| !COMMON.contains(&name.as_str()));
        let shown = |text: &str| {
            let is_plain = !text.is_empty() && !text.contains([' ', '"', '=']);
            if is_plain { text.to_owned() } else { format!("{text:?}") }
        };
        let words: Vec<String> =
            own.map(|(name, text)| format!("{name}={}", shown(text))).collect();
        words.join(" ")
    }
}
