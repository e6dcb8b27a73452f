//! Asks every engine for its load.

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
        // The room on cold endpoints follows from the reports.
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
    let asked = node.now();
    match node.engines.standing(address, node.settings.connect).await {
        Ok(standing) => {
            lock(&node.tables.endpoints).note_leaving(id, standing.leaving);
            lock(&node.tables.rights).note_load(id, sample(&standing.load, asked));
            lock(&node.tables.scheduler).report(id, &standing.load, node.now());
        }
        Err(error) => {
            lock(&node.tables.rights).forget_load(id);
            tracing::debug!(event = "load_report_failed", endpoint = %id, error = format!("{error:#}"));
        }
    }
}

/// Dates a report: it can't be older than its age counted back from the question.
fn sample(report: &LoadReport, asked: Moment) -> LoadSample {
    let taken = asked.since_start().saturating_sub(report.age);
    LoadSample {
        taken: Moment::new(taken),
        held: report.running + report.waiting,
        cold: report.cold,
        limit: report.cold_limit,
    }
}
