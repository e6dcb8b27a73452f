//! All log lines that were collected.

use std::collections::BTreeMap;
use std::io::Read;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;

use super::Record;

/// Name of the standard input among the files.
const STDIN: &str = "-";

/// All log lines that were collected, by instance and in the order in which each wrote them.
#[derive(Debug, Default)]
pub struct LogBook {
    instances: BTreeMap<String, Vec<Record>>,
}

impl LogBook {
    /// Reads files, or the standard input for `-`. Lines of other programs are passed over.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read.
    pub fn load(files: &[&str]) -> anyhow::Result<Self> {
        let mut book = Self::default();
        for file in files {
            let bytes = read(file).with_context(|| format!("read {file}"))?;
            let name = Path::new(file).file_stem().map(|n| n.to_string_lossy().into_owned());
            book.add(&String::from_utf8_lossy(&bytes), &name.unwrap_or_default());
        }
        Ok(book)
    }

    fn add(&mut self, text: &str, file: &str) {
        for record in text.lines().filter_map(|line| Record::parse(line, file)) {
            self.instances.entry(record.instance.clone()).or_default().push(record);
        }
    }

    /// Returns all lines of an instance.
    pub fn of(&self, instance: &str) -> &[Record] {
        self.instances.get(instance).map_or(&[], Vec::as_slice)
    }

    /// Lists a request's lines, instance by instance.
    pub fn of_request<'a>(&'a self, request: &str) -> Vec<&'a Record> {
        self.instances.values().flatten().filter(|r| r.field("request") == request).collect()
    }

    /// Lists the lines of all instances within a time, the earliest first.
    pub fn within(&self, from: Duration, to: Duration) -> Vec<&Record> {
        let all = self.instances.values().flatten();
        let mut found: Vec<&Record> = all.filter(|r| (from..=to).contains(&r.at)).collect();
        found.sort_by_key(|r| r.at);
        found
    }

    /// Lists the starts of processes whose life before ended without a word, each with the last line
    /// before it.
    pub fn sudden_ends(&self) -> Vec<(&Record, &Record)> {
        let pairs = self.instances.values().flat_map(|records| records.windows(2));
        let is_sudden = |last: &Record, next: &Record| {
            next.event == "started" && last.event != "stopped" && last.event != "started"
        };
        let ends = pairs.filter_map(|pair| match pair {
            [last, next] if is_sudden(last, next) => Some((last, next)),
            _ => None,
        });
        ends.collect()
    }
}

fn read(file: &str) -> std::io::Result<Vec<u8>> {
    if file != STDIN {
        return std::fs::read(file);
    }
    let mut bytes = Vec::new();
    std::io::stdin().read_to_end(&mut bytes)?;
    Ok(bytes)
}
