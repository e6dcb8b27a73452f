//! Sends this instance's heartbeat.

use std::sync::Arc;

use nutmeggrade_core::peer::Beacon;
use nutmeggrade_platform::Platform;
use tokio::time::timeout;

use crate::node::{Node, Phase};
use crate::peers::Peers;
use crate::tables::lock;

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>, peers: Arc<Peers>) {
    let mut sequence = 0;
    loop {
        sequence += 1;
        let config = lock(&node.tables.config).version();
        let in_flight = lock(&node.tables.scheduler).in_flight();
        let leaving = node.phase() > Phase::Serving;
        let entry = node.entry.clone();
        let suspects = lock(&node.tables.suspects).tell(node.now());
        let resumed = lock(&node.tables.orphans).tell(node.now());
        let beacon = Beacon { entry, sequence, config, leaving, in_flight, resumed, suspects };
        if let Err(error) = peers.publish(&beacon) {
            tracing::warn!(event = "beacon_failed", error = format!("{error:#}"));
        }
        hear(&node);
        // Ends early for news that can't wait.
        drop(timeout(node.settings.beacon, node.news.notified()).await);
    }
}

fn hear<P: Platform>(node: &Arc<Node<P>>) {
    let now = node.now();
    let (live, in_flight) = {
        let members = lock(&node.tables.members);
        (members.live(now).len(), members.in_flight(now))
    };
    node.metrics.peers.set(i64::try_from(live).unwrap_or(i64::MAX));
    lock(&node.tables.scheduler).set_peers(&in_flight, now);
    node.sync_engines();
}
