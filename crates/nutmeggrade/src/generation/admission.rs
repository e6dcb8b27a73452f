//! Admission of generations by the scheduler.

use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::{End, GenerationRequest, Ticket, Verdict};
use nutmeggrade_state::cold_load::SlotId;
use tokio::sync::oneshot;

use super::SlotGuard;
use crate::node::Node;
use crate::tables::lock;

/// A request that the scheduler admitted; removed from the scheduler on drop.
#[derive(Debug)]
pub struct Placement<P: Platform> {
    node: Arc<Node<P>>,
    ticket: Ticket,
    /// Engine to start on.
    pub endpoint: EndpointId,
    /// Priority; requests with a higher one are preempted later.
    pub priority: i32,
    /// Slot on that engine.
    pub slot: SlotGuard<P>,
    end: End,
}

impl<P: Platform> Placement<P> {
    /// Records a token.
    pub fn record_token(&self) {
        lock(&self.node.tables.scheduler).token(self.ticket, self.node.now());
    }

    /// Sets how the request ended.
    pub fn set_end(&mut self, end: End) {
        self.end = end;
    }
}

impl<P: Platform> Drop for Placement<P> {
    fn drop(&mut self) {
        lock(&self.node.tables.scheduler).end(self.ticket, self.end, self.node.now());
    }
}

/// Removes a request from the queue on drop if its caller disconnects before the verdict.
struct QueueGuard<P: Platform> {
    node: Arc<Node<P>>,
    ticket: Ticket,
    decided: bool,
}

impl<P: Platform> Drop for QueueGuard<P> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let now = self.node.now();
        lock(&self.node.tables.scheduler).end(self.ticket, End::Cancelled, now);
        lock(&self.node.tables.waiters).remove(&self.ticket);
    }
}

/// Requests admission from the scheduler and waits in its queue if needed.
pub async fn admit<P: Platform>(
    node: &Arc<Node<P>>,
    request: &GenerationRequest,
) -> Result<Placement<P>, Failure> {
    let ticket = request.ticket;
    let (verdict, waiter) = {
        let mut scheduler = lock(&node.tables.scheduler);
        let verdict = scheduler.admit(request, node.now());
        // Inserted while the scheduler is locked, so that the release task always finds the waiter
        // of its verdict.
        let waiter = (verdict == Verdict::Wait).then(|| {
            let (sender, receiver) = oneshot::channel();
            lock(&node.tables.waiters).insert(ticket, sender);
            node.queue_wakeup.notify_one();
            receiver
        });
        (verdict, waiter)
    };
    let verdict = match waiter {
        None => verdict,
        Some(receiver) => {
            let mut queue_guard = QueueGuard { node: Arc::clone(node), ticket, decided: false };
            let verdict = receiver.await;
            queue_guard.decided = true;
            verdict.unwrap_or(Verdict::Wait)
        }
    };
    match verdict {
        Verdict::Go { endpoint, priority } => {
            let node = Arc::clone(node);
            let slot = SlotGuard::new(&node, &endpoint, SlotId(ticket.0));
            Ok(Placement { node, ticket, endpoint, priority, slot, end: End::Cancelled })
        }
        Verdict::Refuse { code, retry_after } => {
            Err(Failure::new(code, "not let in").with_retry_after(retry_after))
        }
        Verdict::Wait => Err(Failure::new(Code::NotReady, "stopped while waiting")),
    }
}
