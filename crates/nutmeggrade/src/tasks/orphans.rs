//! Cancels generations whose callers left and did not resume at any instance.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_platform::Platform;
use tokio::time::sleep;

use crate::generation::cancel;
use crate::node::Node;
use crate::tables::lock;

/// Interval between checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a peer is assumed to serve no resumed generations any more.
const PEER_TIMEOUT: Duration = Duration::from_mins(1);

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let due = {
            let members = lock(&node.tables.members);
            lock(&node.tables.orphans).due(now, |at| members.all_heard(at, PEER_TIMEOUT, now))
        };
        for (generation, address) in due {
            tracing::info!(event = "orphan_cancelled", %generation, %address);
            cancel(&node, address, generation);
        }
        let refused = lock(&node.tables.suspects).rejected_count(now);
        node.metrics.suspects.set(i64::try_from(refused).unwrap_or(i64::MAX));
    }
}
