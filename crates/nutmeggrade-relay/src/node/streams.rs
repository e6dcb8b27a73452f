//! Versions at which streams began that clients may take up.

use std::sync::Mutex;

use nutmeggrade_core::peer::StreamVersion;
use tokio::sync::Notify;

use super::Node;
use crate::tables::lock;

/// Largest number of streams that wait until peers are told of them; more are not told.
const MAX_QUEUED: usize = 4_096;

/// Streams that began and of which peers are to be told.
#[derive(Debug, Default)]
pub struct BegunStreams {
    queue: Mutex<Vec<StreamVersion>>,
    queued: Notify,
}

impl BegunStreams {
    /// Waits until streams began, and takes them.
    pub async fn take(&self) -> Vec<StreamVersion> {
        self.queued.notified().await;
        std::mem::take(&mut *lock(&self.queue))
    }

    fn push(&self, began: StreamVersion) {
        let queue = &mut *lock(&self.queue);
        if queue.len() < MAX_QUEUED {
            queue.push(began);
            self.queued.notify_one();
        }
    }
}

impl Node {
    /// Records at which version a stream began, and tells the peers that are to know of it.
    pub fn announce_stream(&self, began: StreamVersion) {
        self.note_stream(&began);
        self.begun_streams.push(began);
    }

    /// Records at which version a stream began.
    pub fn note_stream(&self, began: &StreamVersion) {
        lock(&self.tables).streams.note(began, self.now());
    }
}
