//! The owner's work: one order at a time, each read back before the next.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::audit::AuditEvent;
use nutmeggrade_core::order::{DesiredState, FencedOrder, Order, OrderStatus, Progress};
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_state::order_plan::{NextStep, next_step};
use tokio::time::sleep;

use super::engine::{Answer, give, state};
use super::weights;
use crate::node::Node;
use crate::tables::lock;

/// Pause between looks at the engines that this instance owns.
const PAUSE: Duration = Duration::from_millis(250);

/// Looks until an engine that is as wanted is looked at again: it may restart and lose its weights, or
/// obey a late order of an earlier owner.
const RECHECK: u32 = 20;

/// What this owner wrote last about each engine, to write only what is new.
type Written = BTreeMap<EndpointId, OrderStatus>;

/// One engine that this instance owns, and what is wanted of it.
struct Owned {
    endpoint: EndpointId,
    address: SocketAddr,
    desired: DesiredState,
    epoch: u64,
}

/// Brings the engines that this instance owns where operators want them, and keeps them there.
pub async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut written = Written::new();
    let mut round = 0;
    loop {
        sleep(PAUSE).await;
        round += 1;
        for owned in owned(&node) {
            let done = written.get(&owned.endpoint) == Some(&done(&node, &owned));
            if done && round % RECHECK != 0 {
                continue;
            }
            if let Err(error) = step(&node, &owned, &mut written).await {
                let endpoint = &owned.endpoint;
                tracing::debug!(event = "order_step_failed", %endpoint, error = format!("{error:#}"));
            }
        }
    }
}

fn effect<P: Platform>(
    node: &Node<P>,
    owned: &Owned,
    progress: Progress,
    detail: &str,
) -> OrderStatus {
    let instance = node.entry.instance.clone();
    let (version, epoch) = (owned.desired.version, owned.epoch);
    OrderStatus { version, epoch, instance, progress, detail: detail.to_owned() }
}

fn done<P: Platform>(node: &Node<P>, owned: &Owned) -> OrderStatus {
    effect(node, owned, Progress::Done, "read back")
}

fn owned<P: Platform>(node: &Node<P>) -> Vec<Owned> {
    let endpoints = lock(&node.tables.endpoints);
    let rights = lock(&node.tables.rights);
    let orders = lock(&node.tables.orders);
    let now = node.now();
    let one = |(endpoint, desired): (&EndpointId, &DesiredState)| {
        let address = endpoints.get(endpoint)?.address;
        let epoch = rights.owner_epoch(endpoint, now)?;
        Some(Owned { endpoint: endpoint.clone(), address, desired: desired.clone(), epoch })
    };
    orders.wanted().filter_map(one).collect()
}

async fn step<P: Platform>(
    node: &Node<P>,
    owned: &Owned,
    written: &mut Written,
) -> anyhow::Result<()> {
    let state = state(owned.address, node.settings.connect).await?;
    match next_step(&owned.desired, &state, owned.epoch) {
        NextStep::Busy => Ok(()),
        NextStep::Outdated => {
            let detail = format!("the engine has seen fence={}", state.fence);
            refused(node, owned, &detail);
            Ok(())
        }
        NextStep::Done => finish(node, owned, written).await,
        NextStep::Send(order) => send(node, owned, &order, written).await,
    }
}

async fn finish<P: Platform>(
    node: &Node<P>,
    owned: &Owned,
    written: &mut Written,
) -> anyhow::Result<()> {
    let done = done(node, owned);
    if written.get(&owned.endpoint) == Some(&done) {
        return Ok(());
    }
    weights::give_back(node, &owned.endpoint).await?;
    write(node, owned, done, written).await?;
    let (version, epoch) = (owned.desired.version, owned.epoch);
    let detail = format!("endpoint={} version={version} fence={epoch}", owned.endpoint);
    node.audit(AuditEvent::OrderDone, &detail);
    Ok(())
}

async fn send<P: Platform>(
    node: &Node<P>,
    owned: &Owned,
    order: &Order,
    written: &mut Written,
) -> anyhow::Result<()> {
    let detail = order.to_string();
    if matches!(order, Order::Load { .. })
        && !weights::take(node, &owned.endpoint, owned.epoch).await?
    {
        return write(node, owned, effect(node, owned, Progress::Waiting, &detail), written).await;
    }
    write(node, owned, effect(node, owned, Progress::Sent, &detail), written).await?;
    // The calls above took time, and the process may have been frozen in them. An engine that does
    // not check fencing numbers would obey an old owner; so the right is checked again last.
    let still = lock(&node.tables.rights).owner_epoch(&owned.endpoint, node.now());
    if still != Some(owned.epoch) {
        return Ok(());
    }
    let fenced = FencedOrder { fence: owned.epoch, order: order.clone() };
    let text = format!("endpoint={} fence={} {order}", owned.endpoint, owned.epoch);
    node.audit(AuditEvent::OrderSent, &text);
    match give(owned.address, &fenced, node.settings.connect).await? {
        Answer::Taken => Ok(()),
        Answer::Outdated => {
            refused(node, owned, &detail);
            Ok(())
        }
        Answer::Refused(status) => {
            let detail = format!("{detail}: {status}");
            refused(node, owned, &detail);
            write(node, owned, effect(node, owned, Progress::Refused, &detail), written).await
        }
    }
}

fn refused<P: Platform>(node: &Node<P>, owned: &Owned, detail: &str) {
    let detail = format!("endpoint={} fence={} {detail}", owned.endpoint, owned.epoch);
    node.audit(AuditEvent::OrderRefused, &detail);
}

/// Writes what came of the orders, unless a later owner did.
async fn write<P: Platform>(
    node: &Node<P>,
    owned: &Owned,
    effect: OrderStatus,
    written: &mut Written,
) -> anyhow::Result<()> {
    if written.get(&owned.endpoint) == Some(&effect) {
        return Ok(());
    }
    let key = OrderStatus::key(&owned.endpoint);
    let value = serde_json::to_value(&effect).context("encode effect")?;
    match node.platform.read(&key).await? {
        None => node.platform.create(&key, &value).await?,
        Some(object) => {
            let found: OrderStatus = serde_json::from_value(object.value.unwrap_or_default())?;
            anyhow::ensure!(
                found.epoch <= owned.epoch,
                "a later owner wrote epoch {}",
                found.epoch
            );
            node.platform.replace(&key, &value, object.version).await?
        }
    };
    written.insert(owned.endpoint.clone(), effect);
    Ok(())
}
