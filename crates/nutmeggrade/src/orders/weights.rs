//! Slots that limit concurrent loads from the weight store.

use anyhow::Context;
use nutmeggrade_core::object::Object;
use nutmeggrade_core::order::{WEIGHT_PREFIX, WeightSlot};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{Platform, PlatformError};

use crate::node::Node;
use crate::tables::lock;

/// Acquires a slot for a load of an engine; returns whether the engine has one.
pub async fn acquire<P: Platform>(
    node: &Node<P>,
    endpoint: &EndpointId,
    epoch: u64,
) -> anyhow::Result<bool> {
    let listed = node.platform.list(WEIGHT_PREFIX).await?.objects;
    let mut used = 0;
    for object in &listed {
        let slot = read(object)?;
        if slot.endpoint == *endpoint {
            return Ok(true);
        }
        // An engine that is no longer listed would never release its slot.
        if lock(&node.tables.endpoints).get(&slot.endpoint).is_none() {
            node.platform.remove(&object.key, object.version).await?;
        } else {
            used += 1;
        }
    }
    let limit = limit(node);
    if used >= limit {
        return Ok(false);
    }
    let instance = node.entry.instance.clone();
    let slot = WeightSlot { endpoint: endpoint.clone(), instance, epoch };
    let value = serde_json::to_value(&slot).context("encode weight slot")?;
    let in_use = |n: &u32| listed.iter().any(|o| o.key == WeightSlot::key(*n));
    let Some(free) = (0..limit).find(|n| !in_use(n)) else { return Ok(false) };
    match node.platform.create(&WeightSlot::key(free), &value).await {
        Ok(_) => Ok(true),
        Err(PlatformError::Conflict) => Ok(false),
        // If the write took effect after all, the next check finds the slot.
        Err(error) => Err(error.into()),
    }
}

/// Releases the slot of an engine that has loaded, whichever instance acquired it.
pub async fn release<P: Platform>(node: &Node<P>, endpoint: &EndpointId) -> anyhow::Result<()> {
    for object in node.platform.list(WEIGHT_PREFIX).await?.objects {
        if read(&object)?.endpoint == *endpoint {
            node.platform.remove(&object.key, object.version).await?;
        }
    }
    Ok(())
}

fn read(object: &Object) -> anyhow::Result<WeightSlot> {
    let value = object.value.clone().unwrap_or_default();
    serde_json::from_value(value).context("decode weight slot")
}

fn limit<P: Platform>(node: &Node<P>) -> u32 {
    let config = lock(&node.tables.config).current();
    config.as_ref().and_then(|c| c.preset()).map_or(0, |p| p.limits.loads)
}
