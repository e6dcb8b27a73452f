//! Records of non-idempotent calls: claimed before the call, settled after it.

use std::sync::Arc;
use std::time::Duration;

use nutmeggrade_core::object::Object;
use nutmeggrade_platform::{Platform, PlatformError};
use nutmeggrade_state::claiming::{ClaimStep, Claiming, StoreResponse};
use nutmeggrade_state::intent::{Intent, Owner};
use nutmeggrade_state::settling::{SettleStep, Settling};
use tokio::time::sleep;

use crate::node::Node;
use crate::tables::lock;

/// Initial delay between attempts to settle a record; doubles after each one.
const INITIAL_DELAY: Duration = Duration::from_millis(250);
/// Maximum delay: bounds how late a record is settled after an outage, and limits each open record
/// to one platform call per this time during the outage.
const MAX_DELAY: Duration = Duration::from_secs(15);
/// Maximum number of reads for the record of a claim in doubt. A write that takes effect later
/// leaves a record that its instance recognises as never sent.
const MAX_DOUBT_CHECKS: u32 = 8;

/// Claims the record, or finds out which attempt owns it.
pub async fn claim_call<P: Platform>(node: &Node<P>, record_key: &str, claiming: &mut Claiming) {
    loop {
        let response = match claiming.step() {
            ClaimStep::Create => create(node, record_key, claiming.intent()).await,
            ClaimStep::Replace(version) => {
                replace(node, record_key, claiming.intent(), *version).await
            }
            ClaimStep::Read => read(node, record_key).await,
            ClaimStep::Decided(..) | ClaimStep::GaveUp { .. } => return,
        };
        claiming.apply(response);
    }
}

/// Records the outcome of the call. If that doesn't succeed at once, it continues in the
/// background, so that the caller does not wait for an outage to end.
pub async fn settle<P: Platform>(node: &Arc<Node<P>>, record_key: &str, mut settling: Settling) {
    advance(node, record_key, &mut settling).await;
    if settling.step() == SettleStep::Settled {
        lock(&node.tables.intents).settle(settling.intent().nonce);
        return;
    }
    tracing::warn!(event = "outcome_not_recorded", key = record_key);
    settle_later(node, record_key, settling);
}

/// Retries in the background until the outcome of the call is recorded.
pub fn settle_later<P: Platform>(node: &Arc<Node<P>>, record_key: &str, mut settling: Settling) {
    let node = Arc::clone(node);
    let record_key = record_key.to_owned();
    let in_doubt = settling.step() == SettleStep::Read;
    tokio::spawn(async move {
        let mut delay = INITIAL_DELAY;
        let mut checks = 0;
        while settling.step() != SettleStep::Settled && !(in_doubt && checks >= MAX_DOUBT_CHECKS) {
            sleep(delay).await;
            delay = (delay * 2).min(MAX_DELAY);
            checks += 1;
            settling.waited();
            advance(&node, &record_key, &mut settling).await;
        }
        lock(&node.tables.intents).settle(settling.intent().nonce);
        tracing::info!(event = "outcome_settled", key = record_key);
    });
}

async fn advance<P: Platform>(node: &Node<P>, record_key: &str, settling: &mut Settling) {
    loop {
        let response = match settling.step() {
            SettleStep::Replace(version) => {
                replace(node, record_key, settling.intent(), version).await
            }
            SettleStep::Read => read(node, record_key).await,
            SettleStep::Wait | SettleStep::Settled => return,
        };
        settling.apply(&response);
    }
}

async fn create<P: Platform>(node: &Node<P>, record_key: &str, intent: &Intent) -> StoreResponse {
    let Ok(value) = serde_json::to_value(intent) else { return StoreResponse::Refused };
    write_response(&node.platform.create(record_key, &value).await)
}

async fn replace<P: Platform>(
    node: &Node<P>,
    record_key: &str,
    intent: &Intent,
    version: u64,
) -> StoreResponse {
    let Ok(value) = serde_json::to_value(intent) else { return StoreResponse::Refused };
    write_response(&node.platform.replace(record_key, &value, version).await)
}

fn write_response(result: &Result<u64, PlatformError>) -> StoreResponse {
    match result {
        Ok(version) => StoreResponse::Written(*version),
        Err(PlatformError::Conflict) => StoreResponse::Conflict,
        Err(PlatformError::Refused(_)) => StoreResponse::Refused,
        Err(PlatformError::Unknown(_)) => StoreResponse::Lost,
    }
}

async fn read<P: Platform>(node: &Node<P>, record_key: &str) -> StoreResponse {
    match node.platform.read(record_key).await {
        Ok(Some(object)) => found_response(node, object),
        Ok(None) => StoreResponse::Absent,
        Err(_) => StoreResponse::Lost,
    }
}

fn found_response<P: Platform>(node: &Node<P>, object: Object) -> StoreResponse {
    let value = object.value.unwrap_or_default();
    let Ok(intent) = serde_json::from_value::<Intent>(value) else {
        tracing::error!(event = "intent_unreadable", key = object.key);
        return StoreResponse::Lost;
    };
    let owner = owner(node, &intent);
    StoreResponse::Found(Box::new(intent), object.version, owner)
}

fn owner<P: Platform>(node: &Node<P>, recorded: &Intent) -> Owner {
    let own = &node.entry;
    if recorded.instance == own.instance && recorded.incarnation == own.incarnation {
        return lock(&node.tables.intents).owner(recorded.nonce);
    }
    let members = lock(&node.tables.members);
    let alive = members.is_alive(&recorded.instance, recorded.incarnation, node.now());
    if alive { Owner::Busy } else { Owner::Gone }
}
