//! Table of the versions at which streams began.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::peer::{StreamKey, StreamVersion};
use nutmeggrade_core::prelude::*;

/// Time for which a stream is known after it was last noted: longer than a client goes on taking it
/// up. Streams that run longer are noted again.
pub const STREAM_RETENTION: Duration = Duration::from_mins(2);
/// Maximum number of streams in each half, some megabyte.
const MAX_HALF: usize = 8_192;

/// Table of the versions at which streams began, at this instance or at those that it stands in for.
///
/// What two software versions write doesn't fit together, and endpoints don't check who began a
/// stream. A client may take a stream up at any instance, also when the one that served it is gone,
/// so that two further instances know of each stream.
#[derive(Debug, Default)]
pub struct StreamTable {
    newer: BTreeMap<StreamKey, VersionId>,
    older: BTreeMap<StreamKey, VersionId>,
    newer_since: Moment,
}

impl StreamTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the version at which a stream began. The first one that is known counts.
    pub fn note(&mut self, began: &StreamVersion, now: Moment) {
        if self.newer.len() >= MAX_HALF || now.since(self.newer_since) > STREAM_RETENTION {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        let version = self.version(began.stream).unwrap_or(&began.version).clone();
        self.newer.insert(began.stream, version);
    }

    /// Returns the version at which a stream began, if it is known.
    pub fn version(&self, stream: StreamKey) -> Option<&VersionId> {
        self.newer.get(&stream).or_else(|| self.older.get(&stream))
    }

    /// Returns the number of known streams.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.newer.is_empty() && self.older.is_empty()
    }
}
