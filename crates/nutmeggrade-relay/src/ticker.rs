//! What has to be looked at again and again.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_state::registry::{Registered, Registry};
use tokio::time::{MissedTickBehavior, interval};

use crate::node::Node;
use crate::tables::lock;

/// Time between looks: a tenth of the second over which cold endpoints are bounded, and as long as
/// a waiting request may miss room that a pause or a peer's heartbeat made.
const PERIOD: Duration = Duration::from_millis(100);

/// Looks for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut live = BTreeSet::new();
    loop {
        ticks.tick().await;
        node.change_registry(Registry::expire);
        look_at_peers(&node, &mut live);
        forget_rollouts(&node);
        node.refresh();
    }
}

/// Forgets what peers that fell silent have placed, and says which did.
fn look_at_peers(node: &Node, live: &mut BTreeSet<InstanceId>) {
    let now = node.now();
    let mut tables = lock(&node.tables);
    tables.fleet.forget(now);
    let heard: BTreeSet<InstanceId> = tables.fleet.live(now).cloned().collect();
    for peer in live.difference(&heard) {
        tracing::info!(event = "peer_silent", %peer);
    }
    tables.dispatcher.book.retain_peers(|peer| heard.contains(peer));
    let waiting = tables.dispatcher.waiting();
    drop(tables);
    node.metrics.peers.set(i64::try_from(heard.len()).unwrap_or(i64::MAX));
    node.metrics.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    *live = heard;
}

/// Forgets orders that were taken back and of whose version nothing is left.
fn forget_rollouts(node: &Node) {
    let tables = &mut *lock(&node.tables);
    let registry = &tables.registry;
    tables.rollouts.forget(|service, version| {
        let is_there =
            |e: &Registered| e.info.service == *service && e.info.version.as_ref() == Some(version);
        registry.all().any(is_there)
    });
}
