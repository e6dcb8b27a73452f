//! The connections that a listener may have open.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_policy::intake::ListenerId;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use super::connection_memory::ConnectionMemory;
use super::memory_budget::MemoryBudget;

/// Memory of a connection without a request, mostly the HTTP server's read buffer.
const CONNECTION_BYTES: usize = 8 << 10;
/// Time within which a connection that is given up closes.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection that a listener may serve; it counts as open until this is dropped.
#[derive(Debug)]
pub struct AdmittedConnection {
    /// What the connection holds.
    pub memory: ConnectionMemory,
    _permit: OwnedSemaphorePermit,
}

/// The connections that a listener may have open.
#[derive(Debug)]
pub struct ConnectionLimit {
    budget: Arc<MemoryBudget>,
    listener: ListenerId,
    most: usize,
    permits: Arc<Semaphore>,
}

impl ConnectionLimit {
    /// Creates the limit of a listener.
    pub fn new(budget: &Arc<MemoryBudget>, most: usize) -> Self {
        let (budget, listener) = (Arc::clone(budget), budget.add_listener());
        Self { budget, listener, most, permits: Arc::new(Semaphore::new(most)) }
    }

    /// Admits a connection; `None` if there are too many, or if clients hold too much memory.
    ///
    /// If there are as many as there may be, the one whose client has been silent the longest is closed
    /// for the new one: clients that connect and send nothing would otherwise keep out all others.
    pub async fn admit(&self) -> Option<AdmittedConnection> {
        let mut permit = Arc::clone(&self.permits).try_acquire_owned().ok();
        if permit.is_none() && self.budget.give_up_longest_wait(self.listener) {
            let closed = timeout(CLOSE_TIMEOUT, Arc::clone(&self.permits).acquire_owned());
            permit = closed.await.ok().and_then(Result::ok);
        }
        let Some(permit) = permit else {
            self.budget.note_connection_limit(self.most);
            return None;
        };
        let memory = self.budget.connect(self.listener, CONNECTION_BYTES)?;
        Some(AdmittedConnection { memory, _permit: permit })
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        let most = u32::try_from(self.most).unwrap_or(u32::MAX);
        // The semaphore is never closed, so this waits for the last connection.
        drop(self.permits.acquire_many(most).await);
    }
}
