//! Output lines, as text or JSON.

use std::io::{Write, stdout};

use serde_json::{Map, Value};

use crate::settings::Settings;

/// One line of output: an event and its fields in insertion order.
#[derive(Debug)]
pub struct Line {
    event: &'static str,
    fields: Vec<(&'static str, Value)>,
}

/// Prints a line to standard output and ignores errors.
///
/// A reader such as `head` may close the pipe early. The command must still complete: otherwise an
/// accepted change wouldn't be followed until it is in force, and the exit code would be wrong.
pub fn print_line(text: &str) {
    drop(writeln!(stdout(), "{text}"));
}

impl Line {
    /// Creates a line without fields.
    pub const fn new(event: &'static str) -> Self {
        Self { event, fields: Vec::new() }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.fields.push((name, value.into()));
        self
    }

    /// Prints the line as text, or as JSON with `--json`.
    pub fn print(self, settings: &Settings) {
        print_line(&if settings.json { self.json() } else { self.text() });
    }

    fn json(self) -> String {
        let mut object = Map::from_iter([("event".to_owned(), Value::from(self.event))]);
        object.extend(self.fields.into_iter().map(|(name, value)| (name.to_owned(), value)));
        Value::Object(object).to_string()
    }

    fn text(self) -> String {
        let format_value = |value: &Value| match value {
            Value::String(s) if !s.is_empty() && !s.contains([' ', '"', '=']) => s.clone(),
            other => other.to_string(),
        };
        let fields =
            self.fields.iter().map(|(name, value)| format!("{name}={}", format_value(value)));
        let parts: Vec<_> = std::iter::once(self.event.to_owned()).chain(fields).collect();
        parts.join(" ")
    }
}
