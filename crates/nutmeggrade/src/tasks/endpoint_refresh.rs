//! Refreshes the list of endpoints, which lags behind in the platform.

use std::sync::Arc;

use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    loop {
        match node.platform.endpoints().await {
            Ok(list) => {
                apply_list(&node, &list);
                node.sync_engines();
            }
            Err(error) => tracing::debug!(event = "endpoint_list_failed", %error),
        }
        sleep(node.settings.refresh).await;
    }
}

fn apply_list<P: Platform>(node: &Node<P>, list: &[Endpoint]) {
    let mut table = lock(&node.tables.endpoints);
    table.set_list(list);
    lock(&node.tables.rights).retain(|e| table.get(e).is_some());
}
