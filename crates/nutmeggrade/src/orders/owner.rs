//! Sends orders to owned engines: one at a time, each confirmed before the next.

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

use super::engine::{OrderResponse, fetch_state, send_order};
use super::weights;
use crate::node::Node;
use crate::tables::lock;

/// Interval between checks of the engines that this instance owns.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Check rounds between checks of an engine in its desired state: it may restart and lose its
/// weights, or execute a late order of a previous owner.
const RECHECK_ROUNDS: u32 = 20;

/// Last status that this owner wrote for each engine; unchanged ones are not written again.
type WrittenStatuses = BTreeMap<EndpointId, OrderStatus>;

/// An engine that this instance owns, with its desired state.
struct OwnedEngine {
    endpoint: EndpointId,
    address: SocketAddr,
    desired_state: DesiredState,
    epoch: u64,
}

/// Brings the engines that this instance owns into their desired state, and keeps them there.
pub async fn run<P: Platform>(node: Arc<Node<P>>) {
    let mut written = WrittenStatuses::new();
    let mut round = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        round += 1;
        for owned in owned_engines(&node) {
            let is_done = written.get(&owned.endpoint) == Some(&done_status(&node, &owned));
            if is_done && round % RECHECK_ROUNDS != 0 {
                continue;
            }
            if let Err(error) = step(&node, &owned, &mut written).await {
                let endpoint = &owned.endpoint;
                tracing::debug!(event = "order_step_failed", %endpoint, error = format!("{error:#}"));
            }
        }
    }
}

fn order_status<P: Platform>(
    node: &Node<P>,
    owned: &OwnedEngine,
    progress: Progress,
    detail: &str,
) -> OrderStatus {
    let instance = node.entry.instance.clone();
    let (version, epoch) = (owned.desired_state.version, owned.epoch);
    OrderStatus { version, epoch, instance, progress, detail: detail.to_owned() }
}

fn done_status<P: Platform>(node: &Node<P>, owned: &OwnedEngine) -> OrderStatus {
    order_status(node, owned, Progress::Done, "read back")
}

fn owned_engines<P: Platform>(node: &Node<P>) -> Vec<OwnedEngine> {
    let endpoints = lock(&node.tables.endpoints);
    let rights = lock(&node.tables.rights);
    let orders = lock(&node.tables.orders);
    let now = node.now();
    let to_owned_engine = |(endpoint, desired_state): (&EndpointId, &DesiredState)| {
        let address = endpoints.get(endpoint)?.address;
        let epoch = rights.owner_epoch(endpoint, now)?;
        Some(OwnedEngine {
            endpoint: endpoint.clone(),
            address,
            desired_state: desired_state.clone(),
            epoch,
        })
    };
    orders.wanted().filter_map(to_owned_engine).collect()
}

async fn step<P: Platform>(
    node: &Node<P>,
    owned: &OwnedEngine,
    written: &mut WrittenStatuses,
) -> anyhow::Result<()> {
    let state = fetch_state(owned.address, node.settings.connect).await?;
    match next_step(&owned.desired_state, &state, owned.epoch) {
        NextStep::Busy => Ok(()),
        NextStep::Outdated => {
            let detail = format!("the engine has seen fence={}", state.fence);
            audit_refusal(node, owned, &detail);
            Ok(())
        }
        NextStep::Done => finish(node, owned, written).await,
        NextStep::Send(order) => send(node, owned, &order, written).await,
    }
}

async fn finish<P: Platform>(
    node: &Node<P>,
    owned: &OwnedEngine,
    written: &mut WrittenStatuses,
) -> anyhow::Result<()> {
    let done = done_status(node, owned);
    if written.get(&owned.endpoint) == Some(&done) {
        return Ok(());
    }
    weights::release(node, &owned.endpoint).await?;
    write(node, owned, done, written).await?;
    let (version, epoch) = (owned.desired_state.version, owned.epoch);
    let detail = format!("endpoint={} version={version} fence={epoch}", owned.endpoint);
    node.audit(AuditEvent::OrderDone, &detail);
    Ok(())
}

async fn send<P: Platform>(
    node: &Node<P>,
    owned: &OwnedEngine,
    order: &Order,
    written: &mut WrittenStatuses,
) -> anyhow::Result<()> {
    let detail = order.to_string();
    if matches!(order, Order::Load { .. })
        && !weights::acquire(node, &owned.endpoint, owned.epoch).await?
    {
        return write(node, owned, order_status(node, owned, Progress::Waiting, &detail), written)
            .await;
    }
    write(node, owned, order_status(node, owned, Progress::Sent, &detail), written).await?;
    // The process may have been suspended during the calls above, and an engine that does not check
    // fencing numbers would execute the order of a previous owner. So ownership is checked again,
    // immediately before the order is sent.
    let current_epoch = lock(&node.tables.rights).owner_epoch(&owned.endpoint, node.now());
    if current_epoch != Some(owned.epoch) {
        return Ok(());
    }
    let fenced = FencedOrder { fence: owned.epoch, order: order.clone() };
    let audit_detail = format!("endpoint={} fence={} {order}", owned.endpoint, owned.epoch);
    node.audit(AuditEvent::OrderSent, &audit_detail);
    match send_order(owned.address, &fenced, node.settings.connect).await? {
        OrderResponse::Accepted => Ok(()),
        OrderResponse::Outdated => {
            audit_refusal(node, owned, &detail);
            Ok(())
        }
        OrderResponse::Refused(status) => {
            let detail = format!("{detail}: {status}");
            audit_refusal(node, owned, &detail);
            write(node, owned, order_status(node, owned, Progress::Refused, &detail), written).await
        }
    }
}

fn audit_refusal<P: Platform>(node: &Node<P>, owned: &OwnedEngine, detail: &str) {
    let detail = format!("endpoint={} fence={} {detail}", owned.endpoint, owned.epoch);
    node.audit(AuditEvent::OrderRefused, &detail);
}

/// Writes the status of the orders, unless a later owner already has.
async fn write<P: Platform>(
    node: &Node<P>,
    owned: &OwnedEngine,
    status: OrderStatus,
    written: &mut WrittenStatuses,
) -> anyhow::Result<()> {
    if written.get(&owned.endpoint) == Some(&status) {
        return Ok(());
    }
    let key = OrderStatus::key(&owned.endpoint);
    let value = serde_json::to_value(&status).context("encode order status")?;
    match node.platform.read(&key).await? {
        None => node.platform.create(&key, &value).await?,
        Some(object) => {
            let stored: OrderStatus = serde_json::from_value(object.value.unwrap_or_default())?;
            anyhow::ensure!(
                stored.epoch <= owned.epoch,
                "a later owner wrote epoch {}",
                stored.epoch
            );
            node.platform.replace(&key, &value, object.version).await?
        }
    };
    written.insert(owned.endpoint.clone(), status);
    Ok(())
}
