//! Removes the entries that dead instances left in the platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use nutmeggrade_core::peer::InstanceEntry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::time::sleep;

use super::registration;
use crate::node::{Node, Phase};
use crate::tables::lock;

/// Consecutive checks, a `silence` apart, that find an instance silent before its entry is removed.
/// Counting checks rather than time keeps an instance that was suspended itself from removing all
/// others.
const MAX_SILENT_CHECKS: u32 = 10;

/// Removes the entries of instances that died without removing them.
///
/// Instances are killed and replaced under new names every day. Their entries would accumulate, and
/// the operators' command, which waits until every listed instance has a change in force, would
/// never finish. The live member with the lowest name removes them. An instance that was only cut
/// off detects the removal of its entry and registers again.
pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut silent_checks: BTreeMap<InstanceId, u32> = BTreeMap::new();
    loop {
        sleep(node.settings.silence).await;
        let silent = lock(&node.tables.members).silent(node.now());
        silent_checks.retain(|instance, _| silent.iter().any(|e| e.instance == *instance));
        for entry in &silent {
            let count = silent_checks.entry(entry.instance.clone()).or_default();
            *count += 1;
            if *count >= MAX_SILENT_CHECKS && is_lowest_name(&node) {
                *count = 0;
                remove(&node, entry).await;
            }
        }
    }
}

fn is_lowest_name<P: Platform>(node: &Node<P>) -> bool {
    let members = lock(&node.tables.members);
    let now = node.now();
    let own = &node.entry.instance;
    node.phase() == Phase::Serving && members.live(now).iter().all(|e| e.instance > *own)
}

async fn remove<P: Platform>(node: &Node<P>, dead: &InstanceEntry) {
    let key = registration::key(&dead.instance);
    let Ok(Some(object)) = node.platform.read(&key).await else { return };
    let same_incarnation =
        registration::entry(&object).is_some_and(|e| e.incarnation == dead.incarnation);
    if same_incarnation && node.platform.remove(&key, object.version).await.is_ok() {
        tracing::warn!(event = "instance_removed", instance = %dead.instance);
    }
}
