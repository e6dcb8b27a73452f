//! Follows the configuration's versions in the platform.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::config::CONFIG_PREFIX;
use nutmeggrade_core::object::{Changes, Object};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{Platform, PlatformError};
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

/// How long one watch waits; a watch that waits counts as one call.
const WATCH: Duration = Duration::from_secs(1);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(250);

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut revision = 0;
    loop {
        match node.platform.watch(CONFIG_PREFIX, revision, WATCH).await {
            Ok(changes) => {
                lock(&node.tables.fence).hear(node.now());
                revision = changes.revision;
                take(&node, &changes);
            }
            Err(error) => {
                tracing::debug!(event = "config_watch_failed", %error);
                sleep(PAUSE).await;
            }
        }
    }
}

fn take<P: Platform>(node: &Node<P>, changes: &Changes) {
    for config in changes.objects.iter().filter_map(|o| decode(o).ok()) {
        lock(&node.tables.changes).note(&config);
    }
    // Keys sort by version, and only the newest matters.
    let newest = changes.objects.iter().max_by(|a, b| a.key.cmp(&b.key));
    let Some(object) = newest else { return };
    match decode(object) {
        Ok(config) => {
            node.offer_config(&config, "platform");
        }
        Err(error) => tracing::error!(event = "config_unreadable", key = object.key, %error),
    }
}

fn decode(object: &Object) -> Result<Configuration, PlatformError> {
    let value = object.value.clone().unwrap_or_default();
    serde_json::from_value(value).map_err(|e| PlatformError::Refused(e.into()))
}
