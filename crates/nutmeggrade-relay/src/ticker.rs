//! Periodic maintenance of the tables.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_policy::StaggeredInterval;
use nutmeggrade_policy::queue::YieldReason;
use nutmeggrade_state::registry::{Registered, Registry};
use nutmeggrade_wire::kinds::Kind;
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

/// Interval between ticks: a tenth of the second over which requests to cold endpoints are limited,
/// and the longest that a waiting request may miss slots that an expired pause or a peer's
/// heartbeat has freed.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks between two checks for what peers left behind long ago.
const TICKS_PER_CLEANUP: u64 = 10;

/// Runs the maintenance for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut waits = StaggeredInterval::new(TICK_INTERVAL, rand::random());
    for tick in 0_u64.. {
        sleep(waits.next_wait()).await;
        node.change_registry(Registry::expire);
        expire_peers(&node);
        node.share_paces();
        update_queue(&node);
        update_reader_rank(&node);
        if tick.is_multiple_of(TICKS_PER_CLEANUP) {
            node.observe_paces();
            show_answer_ages(&node);
            remove_forgotten_peers(&node);
        }
        prune_rollouts(&node);
        node.review_suspects();
        node.announce_stalled();
        node.refresh();
    }
}

/// Drops the placements of peers whose heartbeats stopped, and logs them.
fn expire_peers(node: &Node) {
    let mut tables = lock(&node.tables);
    let (live_count, silent) = tables.fleet.check_silence(node.now());
    for peer in &silent {
        tracing::info!(event = "peer_silent", %peer);
        tables.dispatcher.load_table.remove_peer(peer);
        tables.dispatcher.order.peers.remove_peer(peer);
    }
    let waiting = tables.dispatcher.waiting();
    drop(tables);
    node.metrics.peers.set(i64::try_from(live_count).unwrap_or(i64::MAX));
    node.metrics.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
}

/// Updates what decides the order of requests across instances, shows it as metrics, and sends a
/// report of the waiting requests that is due although no request was placed.
fn update_queue(node: &Node) {
    let now = node.now();
    let to_gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    let tables = &mut *lock(&node.tables);
    let count = tables.fleet.instance_count(now);
    let order = &mut tables.dispatcher.order;
    order.peers.set_instance_count(count);
    for (priority, waiting) in order.waiting_by_priority(now).into_iter().enumerate() {
        let label = priority.to_string();
        node.metrics.load.fleet_waiting.with_label_values(&[&label]).set(to_gauge(waiting));
    }
    node.metrics.load.urgent_reserve.set(to_gauge(order.total_reserve(now)));
    for reason in YieldReason::ALL {
        let counter = node.metrics.load.yields.with_label_values(&[reason.name()]);
        counter.inc_by(order.own.take_yields(reason));
    }
    if order.prepare_report(now) {
        node.placed.notify_one();
    }
}

/// Shows this instance's rank as a reader of the store, and logs when it changes.
fn update_reader_rank(node: &Node) {
    let rank = lock(&node.tables).fleet.rank_among_readers(node.now());
    let rank = i64::try_from(rank).unwrap_or(i64::MAX);
    let previous = node.metrics.reader_rank.get();
    if rank != previous {
        node.metrics.reader_rank.set(rank);
        tracing::info!(event = "reader_rank", rank, previous);
    }
}

/// Shows how long ago the store answered a call for each kind of object.
fn show_answer_ages(node: &Node) {
    let now = node.now();
    for kind in Kind::ALL {
        let age = node.read_state.of(kind).answer_age(now).as_secs();
        let gauge = node.metrics.store_answer_age.with_label_values(&[kind.name()]);
        gauge.set(i64::try_from(age).unwrap_or(i64::MAX));
    }
}

/// Drops peers and addresses that nobody has heard of for long, and placements of peers that were
/// never heard.
fn remove_forgotten_peers(node: &Node) {
    let now = node.now();
    let tables = &mut *lock(&node.tables);
    tables.fleet.remove_silent(now);
    let fleet = &tables.fleet;
    tables.dispatcher.load_table.retain_peers(|peer| fleet.is_live(peer, now));
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
