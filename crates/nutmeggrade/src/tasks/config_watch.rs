//! Watches the platform for new configuration versions.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::config::CONFIG_PREFIX;
use nutmeggrade_core::object::{Changes, Object};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{MAX_WATCH_CHANGES, Platform, PlatformError, newest_config};
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(250);

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    // A long-poll watch counts as one call. It must end well before the fence closes, since its
    // response confirms the connection only as of the time of the request.
    let watch_timeout = node.settings.fence / 2;
    let mut revision = None;
    loop {
        let requested_at = node.now();
        let result = match revision {
            None => find_newest(&node).await,
            Some(since) => watch_newer(&node, since, watch_timeout).await,
        };
        match result {
            Ok(next) => {
                lock(&node.tables.fence).record_platform_contact(requested_at);
                revision = next;
            }
            Err(error) => {
                tracing::debug!(event = "config_watch_failed", %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Finds the newest version among any number; returns the revision to watch from.
async fn find_newest<P: Platform>(node: &Node<P>) -> Result<Option<u64>, PlatformError> {
    let newest = newest_config(&node.platform).await?;
    if let Some(config) = &newest.config {
        node.apply_config(config, "platform");
    }
    Ok(Some(newest.revision))
}

/// Waits for versions after `since`; returns `None` if there are too many for one watch.
async fn watch_newer<P: Platform>(
    node: &Node<P>,
    since: u64,
    watch_timeout: Duration,
) -> Result<Option<u64>, PlatformError> {
    let changes = node.platform.watch(CONFIG_PREFIX, since, watch_timeout).await?;
    apply_newest(node, &changes)?;
    Ok((changes.objects.len() < MAX_WATCH_CHANGES).then_some(changes.revision))
}

/// Puts the newest version in force. A version that can't be decoded is an error: it may take
/// endpoints out of service, so the response must not keep the fence open.
fn apply_newest<P: Platform>(node: &Node<P>, changes: &Changes) -> Result<(), PlatformError> {
    for config in changes.objects.iter().filter_map(|o| decode(o).ok()) {
        lock(&node.tables.changes).note(&config);
    }
    // Keys sort by version, and only the newest existing version matters.
    let existing = changes.objects.iter().filter(|o| o.value.is_some());
    let Some(object) = existing.max_by(|a, b| a.key.cmp(&b.key)) else { return Ok(()) };
    match decode(object) {
        Ok(config) => {
            node.apply_config(&config, "platform");
            Ok(())
        }
        Err(error) => {
            tracing::error!(event = "config_unreadable", key = object.key, %error);
            Err(error)
        }
    }
}

fn decode(object: &Object) -> Result<Configuration, PlatformError> {
    let value = object.value.clone().unwrap_or_default();
    serde_json::from_value(value).map_err(|e| PlatformError::Refused(e.into()))
}
