//! Report of an instance's waiting requests.

use serde::{Deserialize, Serialize};
use serde_with::{DefaultOnError, VecSkipError, serde_as};

use super::WaitingEntry;

/// Maximum number of entries that are sent and read.
pub const MAX_WAITING_ENTRIES: usize = 16;
/// Bytes of an entry beside the service's name, with typical values.
const ENTRY_BYTES: usize = 24;

/// Report of an instance's waiting requests; it replaces the sender's earlier report.
///
/// Entries that can't be read are skipped, so that a peer of another version, or one that reports
/// nonsense, does not make its placements unreadable.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WaitingReport {
    #[serde_as(deserialize_as = "DefaultOnError<VecSkipError<_>>")]
    entries: Vec<WaitingEntry>,
}

impl WaitingReport {
    /// Creates a report of the first [`MAX_WAITING_ENTRIES`] entries.
    pub fn new(mut entries: Vec<WaitingEntry>) -> Self {
        entries.truncate(MAX_WAITING_ENTRIES);
        Self { entries }
    }

    /// Lists the entries, one for each service and priority.
    pub fn entries(&self) -> impl Iterator<Item = &WaitingEntry> {
        let read = &self.entries[..self.entries.len().min(MAX_WAITING_ENTRIES)];
        let is_first = |index: usize, entry: &WaitingEntry| {
            let same =
                |e: &&WaitingEntry| e.service == entry.service && e.priority == entry.priority;
            !read[..index].iter().any(|e| same(&e))
        };
        read.iter().enumerate().filter(move |(i, e)| is_first(*i, e)).map(|(_, e)| e)
    }

    /// Returns whether there are no entries.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the approximate size in a message, in bytes.
    pub fn size(&self) -> usize {
        self.entries().map(|e| ENTRY_BYTES + e.service.as_str().len()).sum()
    }
}
