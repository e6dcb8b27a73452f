//! What a peer still has to read of the bytes that were written to its connection.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::time::sleep;

/// Interval between two checks whether a peer has read what it has to.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Tells whether a peer that answers still has to read a part of what was written; shared with the
/// connection.
#[derive(Debug, Clone, Default)]
pub struct Backlog(Arc<AtomicBool>);

impl Backlog {
    pub(crate) fn set(&self, exists: bool) {
        self.0.store(exists, Ordering::Relaxed);
    }

    /// Returns whether the peer still has to read a part. What it has read, and that it answers no more, is
    /// noticed within a second.
    pub fn exists(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Completes once the peer has had nothing left to read for the time `limit`.
    pub async fn silence(&self, limit: Duration) {
        loop {
            sleep(limit).await;
            if !self.exists() {
                return;
            }
            while self.exists() {
                sleep(CHECK_INTERVAL).await;
            }
        }
    }
}
