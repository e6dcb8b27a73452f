//! Limits how much an instance sends to its peers at a time.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Time for which the transfers in progress may occupy the link. A peer waits a few seconds for a
/// response, and requests of clients share the link.
const MAX_LINK_TIME: Duration = Duration::from_millis(500);

/// Limits how much an instance sends to its peers at a time.
///
/// When a fleet starts, hundreds of instances want the endpoints from the first one that has them.
/// Sent to all at once, each response would take as long as all together.
#[derive(Debug)]
pub struct Transfers {
    max_bytes: f64,
    bytes: Arc<AtomicUsize>,
}

/// A transfer in progress; ends on drop.
#[derive(Debug)]
pub struct Transfer {
    size: usize,
    bytes: Arc<AtomicUsize>,
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.bytes.fetch_sub(self.size, Ordering::Relaxed);
    }
}

impl Transfers {
    /// Creates the limit for a link, in bytes a second.
    pub fn new(link: f64) -> Self {
        Self { max_bytes: link * MAX_LINK_TIME.as_secs_f64(), bytes: Arc::new(AtomicUsize::new(0)) }
    }

    /// Begins a transfer; `None` if those in progress occupy the link. One transfer of any size is
    /// always possible.
    pub fn begin(&self, size: usize) -> Option<Transfer> {
        let fits = |bytes: usize| {
            let total = bytes.saturating_add(size);
            (bytes == 0 || total as f64 <= self.max_bytes).then_some(total)
        };
        let begun = self.bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        begun.ok().map(|_| Transfer { size, bytes: Arc::clone(&self.bytes) })
    }
}
