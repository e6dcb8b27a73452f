//! Lets waiting requests go as room appears or their time runs out.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_platform::Platform;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::tables::lock;

/// How often an empty queue is looked at; a request that begins to wait wakes it earlier. A look
/// every few milliseconds at nothing would take a large part of what control may cost.
const IDLE: Duration = Duration::from_millis(250);
/// How often the queue is looked at; a fifth of the gap between tokens that callers accept.
const TICK: Duration = Duration::from_millis(7);

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    loop {
        let (ended, waiting) = {
            let mut scheduler = lock(&node.tables.scheduler);
            (scheduler.release(node.now()), scheduler.waiting())
        };
        node.metrics.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        for (ticket, verdict) in ended {
            let waiter = lock(&node.tables.waiters).remove(&ticket);
            if let Some(waiter) = waiter {
                // A waiter that is gone ended its ticket itself.
                drop(waiter.send(verdict));
            }
        }
        if waiting > 0 {
            sleep(TICK).await;
        } else {
            drop(timeout(IDLE, node.queued.notified()).await);
        }
    }
}
