//! Taking a share of the weight store, and giving it back.

use anyhow::Context;
use nutmeggrade_core::object::Object;
use nutmeggrade_core::order::{WEIGHT_PREFIX, WeightSlot};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::{Platform, PlatformError};

use crate::node::Node;
use crate::tables::lock;

/// Takes a slot for a load of an engine; says whether this engine has one now.
pub async fn take<P: Platform>(
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
        // An engine that is listed no more loads nothing; its slot would be lost for good.
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
    let taken = |n: &u32| listed.iter().any(|o| o.key == WeightSlot::key(*n));
    let Some(free) = (0..limit).find(|n| !taken(n)) else { return Ok(false) };
    match node.platform.create(&WeightSlot::key(free), &value).await {
        Ok(_) => Ok(true),
        Err(PlatformError::Conflict) => Ok(false),
        // If the lost write took effect, the next look finds the slot.
        Err(error) => Err(error.into()),
    }
}

/// Gives back the slot of an engine that has loaded, whoever took it.
pub async fn give_back<P: Platform>(node: &Node<P>, endpoint: &EndpointId) -> anyhow::Result<()> {
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
