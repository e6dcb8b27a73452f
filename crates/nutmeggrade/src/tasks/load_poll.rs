//! Asks every engine for its load.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::join_all;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    loop {
        let engines = engines(&node);
        join_all(engines.iter().map(|(id, address)| poll(&node, id, *address))).await;
        sleep(node.settings.poll).await;
    }
}

fn engines<P: Platform>(node: &Node<P>) -> Vec<(EndpointId, SocketAddr)> {
    let table = lock(&node.tables.endpoints);
    let engines = table.all().filter(|e| matches!(e.kind, EndpointKind::Engine { .. }));
    engines.map(|e| (e.id.clone(), e.address)).collect()
}

async fn poll<P: Platform>(node: &Node<P>, id: &EndpointId, address: SocketAddr) {
    match node.engines.load(address, node.settings.connect).await {
        Ok(report) => lock(&node.tables.scheduler).report(id, &report, node.now()),
        Err(error) => {
            tracing::debug!(event = "load_report_failed", endpoint = %id, error = format!("{error:#}"));
        }
    }
}
