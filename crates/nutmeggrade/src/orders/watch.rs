//! Watches the platform for the desired state of engines.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::object::Object;
use nutmeggrade_core::order::{DesiredState, ORDER_PREFIX};
use nutmeggrade_platform::Platform;
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

/// Time limit of one long-poll watch, which counts as one call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Keeps the table of desired states up to date.
pub async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut revision = 0;
    loop {
        match node.platform.watch(ORDER_PREFIX, revision, WATCH_TIMEOUT).await {
            Ok(changes) => {
                revision = changes.revision;
                for object in &changes.objects {
                    apply_change(&node, object);
                }
            }
            Err(error) => {
                tracing::debug!(event = "order_watch_failed", %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_change<P: Platform>(node: &Node<P>, object: &Object) {
    let Some(value) = object.value.clone() else { return };
    let Some(endpoint) = DesiredState::endpoint(&object.key) else { return };
    match serde_json::from_value::<DesiredState>(value) {
        Ok(desired_state) => lock(&node.tables.orders).update(&endpoint, &desired_state),
        Err(error) => tracing::error!(event = "order_unreadable", key = object.key, %error),
    }
}
