//! Removes what instances that are gone for good left in the platform.

use std::collections::BTreeMap;
use std::sync::Arc;

use nutmeggrade_core::peer::Entry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use tokio::time::sleep;

use super::registration;
use crate::node::{Node, Phase};
use crate::tables::lock;

/// Looks in a row, a `silence` apart, that find an instance silent before its entry is removed.
/// Counted in looks, so that one that was frozen itself does not take all others for gone.
const LOOKS: u32 = 10;

/// Looks for instances that died without removing their entry.
///
/// Instances are killed and replaced under new names every day. Their entries would pile up, and
/// the operators' command would wait for each to have a change in force; one would notice changes
/// that never are. The first member by name that is left does it. One that was only cut off sees its
/// entry vanish and registers again.
pub(super) async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut looks: BTreeMap<InstanceId, u32> = BTreeMap::new();
    loop {
        sleep(node.settings.silence).await;
        let silent = lock(&node.tables.members).silent(node.now());
        looks.retain(|instance, _| silent.iter().any(|e| e.instance == *instance));
        for entry in &silent {
            let count = looks.entry(entry.instance.clone()).or_default();
            *count += 1;
            if *count >= LOOKS && is_first(&node) {
                *count = 0;
                remove(&node, entry).await;
            }
        }
    }
}

fn is_first<P: Platform>(node: &Node<P>) -> bool {
    let live = lock(&node.tables.members);
    let now = node.now();
    let own = &node.entry.instance;
    node.phase() == Phase::Serving && live.live(now).iter().all(|e| e.instance > *own)
}

async fn remove<P: Platform>(node: &Node<P>, gone: &Entry) {
    let key = registration::key(&gone.instance);
    let Ok(Some(object)) = node.platform.read(&key).await else { return };
    let same_life = registration::entry(&object).is_some_and(|e| e.incarnation == gone.incarnation);
    if same_life && node.platform.remove(&key, object.version).await.is_ok() {
        tracing::warn!(event = "instance_removed", instance = %gone.instance);
    }
}
