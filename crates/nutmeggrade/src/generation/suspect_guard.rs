//! Admission of a request that is suspected of crashing engines.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::peer::PromptHash;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::suspects::{Admission, TrialId};
use tokio::time::sleep;

use super::Completion;
use crate::caller::Caller;
use crate::node::Node;
use crate::tables::lock;

/// Interval at which a waiting request checks whether it may start.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One request in the table of crash suspects; its wait or trial run ends when the guard is
/// dropped.
#[derive(Debug)]
pub struct SuspectGuard<P: Platform> {
    node: Arc<Node<P>>,
    request: PromptHash,
    id: TrialId,
}

impl<P: Platform> SuspectGuard<P> {
    /// Creates a guard; the request is identified by a hash of its workspace, model and prompt.
    pub fn new(node: &Arc<Node<P>>, caller: &Caller, completion: &Completion) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(format!("{}~{}~", caller.workspace, completion.model).as_bytes());
        hasher.update(completion.prompt.as_bytes());
        let mut hash = [0; 16];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self { node: Arc::clone(node), request: PromptHash::new(hash), id: node.ticket().0 }
    }

    /// Waits until the request may start.
    pub async fn wait_until_allowed(&self, deadline: Moment) -> Result<(), Failure> {
        let mut announced = false;
        loop {
            let now = self.node.now();
            let admission = lock(&self.node.tables.suspects).admission(self.request, self.id, now);
            match admission {
                Admission::Free | Admission::Trial => return Ok(()),
                Admission::Refuse => {
                    let detail = "the request crashed the engines that ran it; it is refused on \
                                  all instances";
                    return Err(Failure::new(Code::CrashSuspect, detail));
                }
                Admission::Wait if deadline <= now => {
                    let detail = "the deadline passed while other suspects of a crash were tried";
                    return Err(Failure::new(Code::TooLate, detail));
                }
                Admission::Wait => {}
            }
            if !announced {
                self.node.heartbeat_wakeup.notify_one();
                announced = true;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Records a crash of the request's engine; `first` is true before the first token.
    pub fn record_crash(&self, engine: &EndpointId, first: bool) {
        let now = self.node.now();
        lock(&self.node.tables.suspects).crash(self.request, self.id, engine, first, now);
        self.node.metrics.crashes.inc();
        self.node.heartbeat_wakeup.notify_one();
        tracing::warn!(event = "engine_crashed", request_hash = %self.request, %engine, first);
    }

    /// Clears the suspicion after the first token, or after the last one if the response is
    /// `complete`.
    pub fn clear(&self, complete: bool) {
        let now = self.node.now();
        let mut suspects = lock(&self.node.tables.suspects);
        suspects.clear(self.request, complete, now);
        suspects.end(self.id);
    }

    /// Ends the wait or trial run before the request is retried.
    pub fn release(&self) {
        lock(&self.node.tables.suspects).end(self.id);
    }
}

impl<P: Platform> Drop for SuspectGuard<P> {
    fn drop(&mut self) {
        self.release();
    }
}
