//! Polls the load reports of all engines.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::join_all;
use nutmeggrade_core::engine::LoadReport;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::cold_load::LoadSample;
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    loop {
        let engines = engines(&node);
        join_all(engines.iter().map(|(id, address)| poll(&node, id, *address))).await;
        // The free slots of cold endpoints depend on the reports.
        node.sync_engines();
        sleep(node.settings.poll).await;
    }
}

fn engines<P: Platform>(node: &Node<P>) -> Vec<(EndpointId, SocketAddr)> {
    let table = lock(&node.tables.endpoints);
    let engines = table.all().filter(|e| matches!(e.kind, EndpointKind::Engine { .. }));
    engines.map(|e| (e.id.clone(), e.address)).collect()
}

async fn poll<P: Platform>(node: &Node<P>, id: &EndpointId, address: SocketAddr) {
    let requested_at = node.now();
    match node.engines.load_report(address, node.settings.connect).await {
        Ok(status) => {
            lock(&node.tables.endpoints).note_leaving(id, status.leaving);
            lock(&node.tables.rights).note_load(id, sample(&status.load, requested_at));
            lock(&node.tables.scheduler).report(id, &status.load, node.now());
        }
        Err(error) => {
            lock(&node.tables.rights).forget_load(id);
            tracing::debug!(event = "load_report_failed", endpoint = %id, error = format!("{error:#}"));
        }
    }
}

/// Creates a sample dated by its earliest possible time: the time of the request minus its age.
fn sample(report: &LoadReport, requested_at: Moment) -> LoadSample {
    let taken = requested_at.since_start().saturating_sub(report.age);
    LoadSample {
        taken: Moment::new(taken),
        held: report.running + report.waiting,
        cold: report.cold,
        limit: report.cold_limit,
    }
}
