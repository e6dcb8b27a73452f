//! Probes endpoints after a connection to them broke.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_platform::CallError;
use nutmeggrade_policy::dispatch::Health;
use nutmeggrade_wire::engine;
use rand::RngExt;
use tokio::time::sleep;

use crate::engine_call;
use crate::node::Node;
use crate::reach::{self, Reach};
use crate::tables::lock;

/// Interval between two probes, half of the pause that a report of an unreachable endpoint causes.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of probes; by then the registry has newer information on the endpoint.
const MAX_PROBES: u32 = 40;

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    /// The endpoint responds, or the probe timed out, which proves no failure.
    Responds,
    /// The endpoint refuses the connection, or accepts and closes it without a response.
    Fails,
}

/// Probes an endpoint after a broken connection, repeatedly for as long as probes fail, and reports
/// each failure to the peers.
///
/// A single failed connection doesn't show that the endpoint is down, and a link that is down for
/// seconds breaks the first request of every instance, which for a generation means the whole
/// response. The first instance to lose a request there determines which of the two it is, so that
/// the others lose none.
pub fn start(node: &Arc<Node>, endpoint: &EndpointInfo) {
    let is_reported = {
        let tables = lock(&node.tables);
        let now = node.now();
        tables
            .dispatcher
            .load_table
            .health(&endpoint.id)
            .is_some_and(|h| h.has_recent_gone_notice(now))
    };
    if is_reported || !lock(&node.probed).insert(endpoint.id.clone()) {
        return;
    }
    let (node, endpoint) = (Arc::clone(node), endpoint.clone());
    tokio::spawn(async move {
        run(&node, &endpoint).await;
        lock(&node.probed).remove(&endpoint.id);
    });
}

async fn run(node: &Arc<Node>, endpoint: &EndpointInfo) {
    let mut last_reported = None;
    for _ in 0..MAX_PROBES {
        let reported = {
            let tables = lock(&node.tables);
            if tables.registry.should_move_work(&endpoint.id) {
                return;
            }
            tables.dispatcher.load_table.health(&endpoint.id).and_then(Health::gone_notice_at)
        };
        // A peer probes it too.
        if reported > last_reported || probe(node, endpoint).await == ProbeResult::Responds {
            return;
        }
        if reach::check(node, endpoint).await == Reach::CutOff {
            return;
        }
        node.announce_unreachable(&endpoint.id);
        last_reported = Some(node.now());
        let pause = PROBE_INTERVAL.mul_f64(rand::rng().random_range(0.9..1.1));
        sleep(pause).await;
    }
}

async fn probe(node: &Node, endpoint: &EndpointInfo) -> ProbeResult {
    let map = node.map();
    let Some(spec) = map.service(&endpoint.service) else { return ProbeResult::Responds };
    let path = if spec.engine.is_some() { engine::REPORT_PATH } else { spec.health.as_str() };
    if path.is_empty() {
        return ProbeResult::Responds;
    }
    // A late response proves nothing: a probe may wait for a slot.
    let Err(error) = engine_call::check(node, endpoint, path).await else {
        return ProbeResult::Responds;
    };
    match error.downcast_ref::<CallError>() {
        Some(error) if error.is_refused() || !error.not_sent() => {
            tracing::info!(event = "check_broke", endpoint = %endpoint.id, %error);
            ProbeResult::Fails
        }
        _ => ProbeResult::Responds,
    }
}
