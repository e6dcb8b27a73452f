//! Versions at which streams began that clients may take up.

use nutmeggrade_core::peer::StreamVersion;

use super::Node;
use crate::tables::lock;

impl Node {
    /// Records at which version a stream began here, and tells the peers that are to know of it.
    pub fn announce_stream(&self, began: StreamVersion) {
        lock(&self.tables).streams.begin(began, self.now());
        self.streams_begun.notify_one();
    }

    /// Records at which version a stream began at a peer.
    pub fn note_stream(&self, began: &StreamVersion) {
        lock(&self.tables).streams.note(began, self.now());
    }
}
