//! Registers this instance in the platform and watches for the other instances.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::object::Object;
use nutmeggrade_core::peer::InstanceEntry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{Platform, PlatformError};
use tokio::time::sleep;

use crate::node::{Node, Phase};
use crate::peers::Peers;
use crate::tables::lock;

pub(super) const PREFIX: &str = "instances/";
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_DELAY: Duration = Duration::from_millis(250);

pub(super) async fn run<P: Platform>(node: Arc<Node<P>>, peers: Arc<Peers>) {
    register_until_done(&node).await;
    let mut revision = None;
    loop {
        // A watch from revision 0 would also return the removed entries of all former instances.
        let result = match revision {
            None => node.platform.list(PREFIX).await,
            Some(since) => node.platform.watch(PREFIX, since, WATCH_TIMEOUT).await,
        };
        match result {
            Ok(changes) => {
                revision = Some(changes.revision);
                for object in &changes.objects {
                    apply_change(&node, &peers, object);
                }
                if own_entry_removed(&node, &changes.objects) {
                    register_until_done(&node).await;
                }
            }
            Err(error) => {
                tracing::debug!(event = "instance_watch_failed", %error);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn register_until_done<P: Platform>(node: &Node<P>) {
    while let Err(error) = register(node).await {
        tracing::warn!(event = "register_failed", error = format!("{error:#}"));
        sleep(RETRY_DELAY).await;
    }
}

/// Returns whether this instance's own entry was removed while it serves: another instance removes
/// it if this one is cut off for long enough.
fn own_entry_removed<P: Platform>(node: &Node<P>, changed: &[Object]) -> bool {
    let own = key(&node.entry.instance);
    let removed = changed.iter().any(|o| o.key == own && o.value.is_none());
    removed && node.phase() == Phase::Serving
}

/// Removes this instance's registration, so that peers remove it at once.
pub async fn unregister<P: Platform>(node: &Node<P>) {
    let key = key(&node.entry.instance);
    let found = node.platform.read(&key).await;
    let Ok(Some(object)) = found else { return };
    if entry(&object).is_some_and(|e| e.incarnation == node.entry.incarnation)
        && let Err(error) = node.platform.remove(&key, object.version).await
    {
        tracing::warn!(event = "unregister_failed", %error);
    }
}

async fn register<P: Platform>(node: &Node<P>) -> anyhow::Result<()> {
    let key = key(&node.entry.instance);
    let value = serde_json::to_value(&node.entry).context("encode entry")?;
    match node.platform.create(&key, &value).await {
        Ok(_) => return Ok(()),
        Err(PlatformError::Conflict) => {}
        Err(error) => return Err(error.into()),
    }
    let Some(current) = node.platform.read(&key).await? else {
        anyhow::bail!("own registration was removed")
    };
    node.platform.replace(&key, &value, current.version).await?;
    Ok(())
}

fn apply_change<P: Platform>(node: &Node<P>, peers: &Peers, object: &Object) {
    let Some(entry) = entry(object) else {
        let name = object.key.trim_start_matches(PREFIX);
        if let Ok(instance) = InstanceId::new(name) {
            lock(&node.tables.members).remove_instance(&instance);
            peers.unsubscribe(&instance);
        }
        return;
    };
    node.add_peer(&entry);
}

pub(super) fn entry(object: &Object) -> Option<InstanceEntry> {
    serde_json::from_value(object.value.clone()?).ok()
}

pub(super) fn key(instance: &InstanceId) -> String {
    format!("{PREFIX}{instance}")
}
