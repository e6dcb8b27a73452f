//! Releases waiting requests when capacity becomes free or their time runs out.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_platform::Platform;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::tables::lock;

/// Polling interval of an empty queue; a request that is queued wakes the task earlier. Polling an
/// empty queue every few milliseconds would use a large part of the CPU budget for control.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Polling interval of the queue; a fifth of the gap between tokens that callers accept.
const POLL_INTERVAL: Duration = Duration::from_millis(7);

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    loop {
        let (verdicts, waiting) = {
            let mut scheduler = lock(&node.tables.scheduler);
            (scheduler.release(node.now()), scheduler.waiting())
        };
        node.metrics.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        for (ticket, verdict) in verdicts {
            let waiter = lock(&node.tables.waiters).remove(&ticket);
            if let Some(waiter) = waiter {
                // A cancelled waiter has already ended its ticket.
                drop(waiter.send(verdict));
            }
        }
        if waiting > 0 {
            sleep(POLL_INTERVAL).await;
        } else {
            drop(timeout(IDLE_POLL_INTERVAL, node.queue_wakeup.notified()).await);
        }
    }
}
