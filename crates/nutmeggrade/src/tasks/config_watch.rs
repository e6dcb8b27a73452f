//! Follows the configuration's versions in the platform.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::config::CONFIG_PREFIX;
use nutmeggrade_core::object::{Changes, Object};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{MAX_WATCH_CHANGES, Platform, PlatformError, newest_config};
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(250);

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    // A waiting watch counts as one call. It must end well before the fence closes, since its answer
    // only counts from the moment at which it was asked for.
    let wait = node.settings.fence / 2;
    let mut revision = None;
    loop {
        let asked = node.now();
        let looked = match revision {
            None => find(&node).await,
            Some(since) => follow(&node, since, wait).await,
        };
        match looked {
            Ok(next) => {
                lock(&node.tables.fence).record_platform_contact(asked);
                revision = next;
            }
            Err(error) => {
                tracing::debug!(event = "config_watch_failed", %error);
                sleep(PAUSE).await;
            }
        }
    }
}

/// Finds the newest version, however many there are; returns the revision to follow from.
async fn find<P: Platform>(node: &Node<P>) -> Result<Option<u64>, PlatformError> {
    let newest = newest_config(&node.platform).await?;
    if let Some(config) = &newest.config {
        node.offer_config(config, "platform");
    }
    Ok(Some(newest.revision))
}

/// Waits for a version after `since`; `None` says that there are too many to follow one by one.
async fn follow<P: Platform>(
    node: &Node<P>,
    since: u64,
    wait: Duration,
) -> Result<Option<u64>, PlatformError> {
    let changes = node.platform.watch(CONFIG_PREFIX, since, wait).await?;
    take(node, &changes)?;
    Ok((changes.objects.len() < MAX_WATCH_CHANGES).then_some(changes.revision))
}

/// Puts the newest version in force. One that can't be read is a failure: what it takes out is not
/// known, so the answer must not count for the fence.
fn take<P: Platform>(node: &Node<P>, changes: &Changes) -> Result<(), PlatformError> {
    for config in changes.objects.iter().filter_map(|o| decode(o).ok()) {
        lock(&node.tables.changes).note(&config);
    }
    // Keys sort by version, and only the newest that still exists matters.
    let live = changes.objects.iter().filter(|o| o.value.is_some());
    let Some(object) = live.max_by(|a, b| a.key.cmp(&b.key)) else { return Ok(()) };
    match decode(object) {
        Ok(config) => {
            node.offer_config(&config, "platform");
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
