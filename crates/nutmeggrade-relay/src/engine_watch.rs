//! Polls engines for their departure while the store is unavailable.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_platform::CallError;
use nutmeggrade_policy::dispatch::Health;
use nutmeggrade_policy::fleet::{PollCandidate, PollLimits, choose_polled};
use nutmeggrade_wire::kinds::Kind;
use tokio::time::sleep;

use crate::engine_call;
use crate::node::Node;
use crate::reach::{self, Reach};
use crate::tables::lock;

/// Interval between two polls of an engine. An engine leaves two seconds after its notice, and
/// copying its generations takes more than one.
const POLL_INTERVAL: Duration = Duration::from_millis(350);

/// Engines that an instance polls at a time.
const OWN_LIMITS: PollLimits = PollLimits { with_work: 16, idle: 1 };
/// Engines that an instance polls at a time for the whole fleet.
const FLEET_LIMITS: PollLimits = PollLimits { with_work: 128, idle: 16 };

/// Polls for as long as the process runs.
///
/// Engines are reclaimed during store outages too. Without polling, no instance detects it and all
/// generations there are lost, which shows as streams that break off without a departure in the
/// logs. An engine's own report includes its departure; one instance polls each engine and informs
/// the others. The first instance whose call to the store is overdue polls all engines at once:
/// engines that leave at that moment would be gone before the other instances detect the outage.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = sleep(POLL_INTERVAL) => {}
            () = node.read_state.response_overdue.notified() => {}
        }
        if !is_store_unavailable(&node) {
            continue;
        }
        let engines = engines_to_poll(&node);
        let polls = engines.iter().map(|engine| poll(&node, engine));
        let leaving: Vec<EndpointId> = join_all(polls).await.into_iter().flatten().collect();
        if !leaving.is_empty() {
            node.announce_leaving(&leaving);
        }
    }
}

/// Returns whether the store is unavailable for this instance or, by a recent report, for a peer.
/// Most instances call the store rarely, and waiting until each detects the outage itself takes
/// longer than an engine's notice.
fn is_store_unavailable(node: &Node) -> bool {
    !node.read_state.of(Kind::Endpoints).is_available()
        || lock(&node.tables).fleet.has_peer_without_store(node.now())
}

/// Lists the engines that this instance polls.
fn engines_to_poll(node: &Node) -> Vec<EndpointInfo> {
    let map = node.map();
    let now = node.now();
    let tables = lock(&node.tables);
    let is_engine = |e: &EndpointInfo| map.service(&e.service).is_some_and(|s| s.engine.is_some());
    let all = tables.registry.all().map(|e| &e.info).filter(|e| !e.leaving && is_engine(e));
    let polls_all = node.read_state.of(Kind::Endpoints).is_overdue();
    let all = all.filter(|e| !tables.reach.is_cut_off(&e.service));
    let own = all.filter(|e| polls_all || tables.fleet.ranks_first_for(e, now));
    let load_table = &tables.dispatcher.load_table;
    let candidates = own.map(|engine| {
        let has_work = load_table.load(&engine.id).requests > 0;
        PollCandidate { engine, has_work }
    });
    let limits = if polls_all { FLEET_LIMITS } else { OWN_LIMITS };
    let polled = choose_polled(candidates.collect(), limits, &mut rand::rng());
    polled.into_iter().cloned().collect()
}

async fn poll(node: &Arc<Node>, engine: &EndpointInfo) -> Option<EndpointId> {
    match engine_call::report(node, engine).await {
        Ok(Some(report)) if report.is_leaving => Some(engine.id.clone()),
        Ok(_) => None,
        Err(error) => {
            tracing::info!(event = "no_report", endpoint = %engine.id, error = format!("{error:#}"));
            if reach::check(node, engine).await == Reach::CutOff {
                return None;
            }
            node.update_health(&engine.id, Health::record_loss);
            if error.downcast_ref().is_some_and(CallError::is_refused) {
                node.announce_unreachable(&engine.id);
            }
            None
        }
    }
}
