//! Log lines of all instances.

use std::collections::BTreeMap;
use std::io::Read;
use std::path::Path;
use std::time::Duration;

use anyhow::Context;

use super::Record;

/// File name that stands for standard input.
const STDIN: &str = "-";

/// Log lines by instance, in the order in which each instance wrote them.
#[derive(Debug, Default)]
pub struct InstanceLogs {
    instances: BTreeMap<String, Vec<Record>>,
}

impl InstanceLogs {
    /// Reads log files, or standard input for `-`. Lines of other programs are skipped.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read.
    pub fn load(files: &[&str]) -> anyhow::Result<Self> {
        let mut logs = Self::default();
        for file in files {
            let bytes = read(file).with_context(|| format!("read {file}"))?;
            let name = Path::new(file).file_stem().map(|n| n.to_string_lossy().into_owned());
            logs.add(&String::from_utf8_lossy(&bytes), &name.unwrap_or_default());
        }
        Ok(logs)
    }

    fn add(&mut self, text: &str, file: &str) {
        for record in text.lines().filter_map(|line| Record::parse(line, file)) {
            self.instances.entry(record.instance.clone()).or_default().push(record);
        }
    }

    /// Returns the lines of an instance.
    pub fn lines_of(&self, instance: &str) -> &[Record] {
        self.instances.get(instance).map_or(&[], Vec::as_slice)
    }

    /// Returns the lines about a request, grouped by instance.
    pub fn lines_of_request<'a>(&'a self, request: &str) -> Vec<&'a Record> {
        self.instances.values().flatten().filter(|r| r.field("request") == request).collect()
    }

    /// Returns the lines of all instances in a time range, earliest first.
    pub fn lines_between(&self, from: Duration, to: Duration) -> Vec<&Record> {
        let all = self.instances.values().flatten();
        let mut matching: Vec<&Record> = all.filter(|r| (from..=to).contains(&r.at)).collect();
        matching.sort_by_key(|r| r.at);
        matching
    }

    /// Returns the restarts of instances that logged no stop before, as pairs of the last line
    /// before the restart and the line of the start.
    pub fn unclean_restarts(&self) -> Vec<(&Record, &Record)> {
        let pairs = self.instances.values().flat_map(|records| records.windows(2));
        let is_unclean = |last: &Record, next: &Record| {
            next.event == "started" && last.event != "stopped" && last.event != "started"
        };
        let restarts = pairs.filter_map(|pair| match pair {
            [last, next] if is_unclean(last, next) => Some((last, next)),
            _ => None,
        });
        restarts.collect()
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
