//! Waiting for the scheduler's verdict.

use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_policy::{End, GenerationRequest, Ticket, Verdict};
use nutmeggrade_state::cold_load::Slot;
use tokio::sync::oneshot;

use super::SlotHold;
use crate::node::Node;
use crate::tables::lock;

/// A request's place in the scheduler; given back when it is dropped.
#[derive(Debug)]
pub struct Placement<P: Platform> {
    node: Arc<Node<P>>,
    ticket: Ticket,
    /// The engine that it may start on.
    pub endpoint: EndpointId,
    /// Higher is preempted later.
    pub priority: i32,
    /// Its place on that engine.
    pub slot: SlotHold<P>,
    end: End,
}

impl<P: Platform> Placement<P> {
    /// Notes a token.
    pub fn token(&self) {
        lock(&self.node.tables.scheduler).token(self.ticket, self.node.now());
    }

    /// Says how the request ended.
    pub fn set_end(&mut self, end: End) {
        self.end = end;
    }
}

impl<P: Platform> Drop for Placement<P> {
    fn drop(&mut self) {
        lock(&self.node.tables.scheduler).end(self.ticket, self.end, self.node.now());
    }
}

/// Takes a request off the queue if its caller leaves while it waits.
struct Waiting<P: Platform> {
    node: Arc<Node<P>>,
    ticket: Ticket,
    decided: bool,
}

impl<P: Platform> Drop for Waiting<P> {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let now = self.node.now();
        lock(&self.node.tables.scheduler).end(self.ticket, End::Cancelled, now);
        lock(&self.node.tables.waiters).remove(&self.ticket);
    }
}

/// Asks the scheduler and waits for as long as it says.
pub async fn admit<P: Platform>(
    node: &Arc<Node<P>>,
    ask: &GenerationRequest,
) -> Result<Placement<P>, Failure> {
    let ticket = ask.ticket;
    let (verdict, waiter) = {
        let mut scheduler = lock(&node.tables.scheduler);
        let verdict = scheduler.ask(ask, node.now());
        // The waiter goes in before the scheduler's lock is given back, so that no verdict of the
        // release task can find it missing.
        let waiter = (verdict == Verdict::Wait).then(|| {
            let (sender, receiver) = oneshot::channel();
            lock(&node.tables.waiters).insert(ticket, sender);
            node.queued.notify_one();
            receiver
        });
        (verdict, waiter)
    };
    let verdict = match waiter {
        None => verdict,
        Some(receiver) => {
            let mut waiting = Waiting { node: Arc::clone(node), ticket, decided: false };
            let verdict = receiver.await;
            waiting.decided = true;
            verdict.unwrap_or(Verdict::Wait)
        }
    };
    match verdict {
        Verdict::Go { endpoint, priority } => {
            let node = Arc::clone(node);
            let slot = SlotHold::new(&node, &endpoint, Slot(ticket.0));
            Ok(Placement { node, ticket, endpoint, priority, slot, end: End::Cancelled })
        }
        Verdict::Refuse { code, retry_after } => {
            Err(Failure::new(code, "not let in").with_retry_after(retry_after))
        }
        Verdict::Wait => Err(Failure::new(Code::NotReady, "stopped while waiting")),
    }
}
