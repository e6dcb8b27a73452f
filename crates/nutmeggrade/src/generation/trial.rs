//! A request's pass through the suspects of crashes.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::peer::PromptHash;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::suspects::{Gate, TrialId};
use tokio::time::sleep;

use super::Completion;
use crate::caller::Caller;
use crate::node::Node;
use crate::tables::lock;

/// Time between looks of a request that waits for its trial.
const LOOK: Duration = Duration::from_millis(20);

/// One request before the suspects; its wait or trial ends when it is dropped.
#[derive(Debug)]
pub struct Trial<P: Platform> {
    node: Arc<Node<P>>,
    request: PromptHash,
    id: TrialId,
}

impl<P: Platform> Trial<P> {
    /// Names a request by its workspace, model and prompt.
    pub fn new(node: &Arc<Node<P>>, caller: &Caller, completion: &Completion) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(format!("{}~{}~", caller.workspace, completion.model).as_bytes());
        hasher.update(completion.prompt.as_bytes());
        let mut hash = [0; 16];
        hash.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self { node: Arc::clone(node), request: PromptHash::new(hash), id: node.ticket().0 }
    }

    /// Waits until the request may start.
    pub async fn pass(&self, deadline: Moment) -> Result<(), Failure> {
        let mut told = false;
        loop {
            let now = self.node.now();
            let gate = lock(&self.node.tables.suspects).gate(self.request, self.id, now);
            match gate {
                Gate::Free | Gate::Trial => return Ok(()),
                Gate::Refuse => {
                    let detail = "the request crashed the engines that ran it; it is refused on \
                                  all instances";
                    return Err(Failure::new(Code::CrashSuspect, detail));
                }
                Gate::Wait if deadline <= now => {
                    let detail = "the deadline passed while other suspects of a crash were tried";
                    return Err(Failure::new(Code::TooLate, detail));
                }
                Gate::Wait => {}
            }
            if !told {
                self.node.news.notify_one();
                told = true;
            }
            sleep(LOOK).await;
        }
    }

    /// Notes that the request's engine crashed.
    pub fn crash(&self, engine: &EndpointId, first: bool) {
        let now = self.node.now();
        lock(&self.node.tables.suspects).crash(self.request, self.id, engine, first, now);
        self.node.metrics.crashes.inc();
        self.node.news.notify_one();
        tracing::warn!(event = "engine_crashed", request_hash = %self.request, %engine, first);
    }

    /// Notes that the request's first token came, or that its answer is `whole`.
    pub fn clear(&self, whole: bool) {
        let now = self.node.now();
        let mut suspects = lock(&self.node.tables.suspects);
        suspects.clear(self.request, whole, now);
        suspects.end(self.id);
    }

    /// Ends the wait or trial, before the request tries again.
    pub fn end(&self) {
        lock(&self.node.tables.suspects).end(self.id);
    }
}

impl<P: Platform> Drop for Trial<P> {
    fn drop(&mut self) {
        self.end();
    }
}
