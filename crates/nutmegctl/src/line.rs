//! One line of output, as text or JSON.

use std::io::{Write, stdout};

use serde_json::{Map, Value};

use crate::settings::Settings;

/// One line of output: an event with its fields in the order in which they were added.
#[derive(Debug)]
pub struct Line {
    event: &'static str,
    fields: Vec<(&'static str, Value)>,
}

/// Prints one line on the standard output.
///
/// A reader such as `head` may close the pipe early. The command must still go on to its end: one
/// that stopped there would leave a change accepted and unseen, with a wrong exit code.
pub fn say(text: &str) {
    drop(writeln!(stdout(), "{text}"));
}

impl Line {
    /// Starts a line.
    pub const fn new(event: &'static str) -> Self {
        Self { event, fields: Vec::new() }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Self {
        self.fields.push((name, value.into()));
        self
    }

    /// Prints the line in the form that the settings ask for.
    pub fn print(self, settings: &Settings) {
        say(&if settings.json { self.json() } else { self.text() });
    }

    fn json(self) -> String {
        let mut object = Map::from_iter([("event".to_owned(), Value::from(self.event))]);
        object.extend(self.fields.into_iter().map(|(name, value)| (name.to_owned(), value)));
        Value::Object(object).to_string()
    }

    fn text(self) -> String {
        let shown = |value: &Value| match value {
            Value::String(s) if !s.is_empty() && !s.contains([' ', '"', '=']) => s.clone(),
            other => other.to_string(),
        };
        let fields = self.fields.iter().map(|(name, value)| format!("{name}={}", shown(value)));
        let words: Vec<_> = std::iter::once(self.event.to_owned()).chain(fields).collect();
        words.join(" ")
    }
}
