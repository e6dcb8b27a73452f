//! Periodic maintenance of the tables.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::prelude::*;
use nutmeggrade_state::registry::{Registered, Registry};
use tokio::time::{MissedTickBehavior, interval};

use crate::node::Node;
use crate::tables::lock;

/// Interval between ticks: a tenth of the second over which requests to cold endpoints are limited,
/// and the longest that a waiting request may miss slots that an expired pause or a peer's
/// heartbeat has freed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the maintenance for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut live_before = BTreeSet::new();
    loop {
        ticks.tick().await;
        node.change_registry(Registry::expire);
        expire_peers(&node, &mut live_before);
        prune_rollouts(&node);
        node.refresh();
    }
}

/// Drops peers whose heartbeats stopped, with their placements, and logs them.
fn expire_peers(node: &Node, live_before: &mut BTreeSet<InstanceId>) {
    let now = node.now();
    let mut tables = lock(&node.tables);
    tables.fleet.remove_silent(now);
    let live_now: BTreeSet<InstanceId> = tables.fleet.live(now).cloned().collect();
    for peer in live_before.difference(&live_now) {
        tracing::info!(event = "peer_silent", %peer);
    }
    tables.dispatcher.load_table.retain_peers(|peer| live_now.contains(peer));
    let waiting = tables.dispatcher.waiting();
    drop(tables);
    node.metrics.peers.set(i64::try_from(live_now.len()).unwrap_or(i64::MAX));
    node.metrics.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
    *live_before = live_now;
}

/// Drops rollouts that were withdrawn and whose version has no endpoints left.
fn prune_rollouts(node: &Node) {
    let tables = &mut *lock(&node.tables);
    let registry = &tables.registry;
    tables.rollouts.remove_withdrawn(|service, version| {
        let runs_version =
            |e: &Registered| e.info.service == *service && e.info.version.as_ref() == Some(version);
        registry.all().any(runs_version)
    });
}
