//! Asks engines themselves whether they leave, while the store can't say it.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_platform::CallError;
use nutmeggrade_policy::dispatch::Health;
use nutmeggrade_wire::kinds::Kind;
use tokio::time::sleep;

use crate::engine_call;
use crate::node::Node;
use crate::tables::lock;

/// Time between two questions to an engine. It leaves two seconds after it knows, and copying what
/// runs there takes more than one.
const PERIOD: Duration = Duration::from_millis(350);

/// Asks for as long as the process runs.
///
/// Engines are reclaimed while the store is away too. Nobody hears of it then, and all that they run
/// is lost, as one sees by streams that break off without a departure in the logs. An engine's own
/// report says that it leaves; one instance asks each engine and tells the others. Whoever is the first
/// to find an answer of the store overdue asks all of them at once: until the others have heard of it,
/// engines that left in the same moment would be gone.
pub async fn run(node: Arc<Node>) {
    loop {
        tokio::select! {
            () = sleep(PERIOD) => {}
            () = node.follow.doubt.notified() => {}
        }
        if !is_store_away(&node) {
            continue;
        }
        let engines = engines_to_ask(&node);
        let asked = engines.iter().map(|engine| leaves(&node, engine));
        let leaving: Vec<EndpointId> = join_all(asked).await.into_iter().flatten().collect();
        if !leaving.is_empty() {
            node.announce_leaving(&leaving);
        }
    }
}

/// Says whether the store is away for this instance, or was just now found to be by a peer. Most
/// instances ask the store seldom; waiting until each has found out for itself takes longer than an
/// engine's notice.
fn is_store_away(node: &Node) -> bool {
    !node.follow.track(Kind::Endpoints).is_answered()
        || lock(&node.tables).fleet.has_peer_without_store(node.now())
}

/// Lists the engines that this instance asks.
fn engines_to_ask(node: &Node) -> Vec<EndpointInfo> {
    let map = node.map();
    let now = node.now();
    let tables = lock(&node.tables);
    let is_engine = |e: &EndpointInfo| map.service(&e.service).is_some_and(|s| s.engine.is_some());
    let all = tables.registry.all().map(|e| &e.info).filter(|e| !e.leaving && is_engine(e));
    let asks_all = node.follow.track(Kind::Endpoints).is_overdue();
    all.filter(|e| asks_all || tables.fleet.is_first_for(&e.id, now)).cloned().collect()
}

async fn leaves(node: &Node, engine: &EndpointInfo) -> Option<EndpointId> {
    match engine_call::report(engine.address).await {
        Ok(report) if report.is_leaving => Some(engine.id.clone()),
        Ok(_) => None,
        Err(error) => {
            tracing::info!(event = "no_report", endpoint = %engine.id, error = format!("{error:#}"));
            node.note_health(&engine.id, Health::lost);
            if error.downcast_ref().is_some_and(CallError::is_refused) {
                node.announce_gone(&engine.id);
            }
            None
        }
    }
}
