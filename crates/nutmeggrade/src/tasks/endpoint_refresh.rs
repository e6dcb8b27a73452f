//! Reads the platform's lagging list of endpoints.

use std::sync::Arc;

use nutmeggrade_platform::Platform;
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    loop {
        match node.platform.endpoints().await {
            Ok(list) => {
                lock(&node.tables.fence).hear(node.now());
                lock(&node.tables.endpoints).set_list(&list);
                node.sync_engines();
            }
            Err(error) => tracing::debug!(event = "endpoint_list_failed", %error),
        }
        sleep(node.settings.refresh).await;
    }
}
