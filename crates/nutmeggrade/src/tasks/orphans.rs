//! Cancels generations whose callers left and did not resume anywhere.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_platform::Platform;
use tokio::time::sleep;

use crate::generation::cancel;
use crate::node::Node;
use crate::tables::lock;

/// Time between looks.
const TICK: Duration = Duration::from_millis(500);
/// Silence after which a peer can no longer serve a caller that resumed there.
const GONE: Duration = Duration::from_mins(1);

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    loop {
        sleep(TICK).await;
        let now = node.now();
        let due = {
            let members = lock(&node.tables.members);
            lock(&node.tables.orphans).due(now, |at| members.all_heard(at, GONE, now))
        };
        for (generation, address) in due {
            tracing::info!(event = "orphan_cancelled", %generation, %address);
            cancel(&node, address, generation);
        }
        let rejected_count = lock(&node.tables.suspects).rejected_count(now);
        node.metrics.suspects.set(i64::try_from(rejected_count).unwrap_or(i64::MAX));
    }
}
