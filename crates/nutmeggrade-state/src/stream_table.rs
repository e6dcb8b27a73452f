//! Table of the versions at which streams began.

use std::time::Duration;

use nutmeggrade_core::peer::{StreamKey, StreamVersion};
use nutmeggrade_core::prelude::*;

use crate::recent_map::RecentMap;

/// Time for which a stream is known after it was last noted: longer than a client goes on taking it
/// up. Streams that run longer are noted again.
pub const STREAM_RETENTION: Duration = Duration::from_mins(2);
/// Maximum number of streams in each half, some megabyte.
const MAX_HALF: usize = 8_192;
/// Maximum number of streams that wait until peers are told of them; of more, none is told.
const MAX_BEGUN: usize = 4_096;

/// Table of the versions at which streams began, at this instance or at those that it stands in for.
///
/// What two software versions write doesn't fit together, and endpoints don't check who began a
/// stream. A client may take a stream up at any instance, also when the one that served it is gone,
/// so that two further instances know of each stream.
#[derive(Debug)]
pub struct StreamTable {
    versions: RecentMap<StreamKey, VersionId>,
    /// Streams of which peers are to be told.
    begun: Vec<StreamVersion>,
}

impl Default for StreamTable {
    fn default() -> Self {
        Self::new()
    }
}

impl StreamTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { versions: RecentMap::new(STREAM_RETENTION, MAX_HALF), begun: Vec::new() }
    }

    /// Records the version at which a stream began. The first one that is known counts.
    pub fn note(&mut self, began: &StreamVersion, now: Moment) {
        let version = self.version(began.stream).unwrap_or(&began.version).clone();
        self.versions.insert(began.stream, version, now);
    }

    /// Records the version of a stream that began here, and that peers are to be told of it.
    pub fn begin(&mut self, began: StreamVersion, now: Moment) {
        self.note(&began, now);
        if self.begun.len() < MAX_BEGUN {
            self.begun.push(began);
        }
    }

    /// Takes the streams of which peers are to be told.
    pub fn take_begun(&mut self) -> Vec<StreamVersion> {
        std::mem::take(&mut self.begun)
    }

    /// Returns the version at which a stream began, if it is known.
    pub fn version(&self, stream: StreamKey) -> Option<&VersionId> {
        self.versions.get(&stream)
    }

    /// Returns the number of known streams.
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }
}
