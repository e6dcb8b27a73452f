//! The records of non-idempotent calls: claimed before the call, settled after it.

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

/// First pause between attempts to settle a record; it doubles.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause: a record is settled this soon after an outage, and during one each open record
/// costs the platform no more than a call in this time.
const PAUSE_MAX: Duration = Duration::from_secs(15);
/// Looks for the record of a claim in doubt. A write that takes effect later than this leaves a
/// record that its instance recognises as never sent.
const DOUBT_LOOKS: u32 = 8;

/// Creates the record, or learns whose it is.
pub async fn claim_call<P: Platform>(node: &Node<P>, place: &str, claiming: &mut Claiming) {
    loop {
        let said = match claiming.step() {
            ClaimStep::Create => create(node, place, claiming.intent()).await,
            ClaimStep::Replace(version) => replace(node, place, claiming.intent(), *version).await,
            ClaimStep::Read => read(node, place).await,
            ClaimStep::Decided(..) | ClaimStep::GaveUp { .. } => return,
        };
        claiming.apply(said);
    }
}

/// Writes down how the call ended; what does not succeed at once goes on in the background, so that
/// the caller does not wait for an outage to end.
pub async fn settle<P: Platform>(node: &Arc<Node<P>>, place: &str, mut settling: Settling) {
    advance(node, place, &mut settling).await;
    if settling.step() == SettleStep::Settled {
        lock(&node.tables.intents).settle(settling.intent().nonce);
        return;
    }
    tracing::warn!(event = "outcome_not_recorded", key = place);
    settle_later(node, place, settling);
}

/// Goes on until the record says how the call ended.
pub fn settle_later<P: Platform>(node: &Arc<Node<P>>, place: &str, mut settling: Settling) {
    let node = Arc::clone(node);
    let place = place.to_owned();
    let in_doubt = settling.step() == SettleStep::Read;
    tokio::spawn(async move {
        let mut pause = PAUSE;
        let mut looks = 0;
        while settling.step() != SettleStep::Settled && !(in_doubt && looks >= DOUBT_LOOKS) {
            sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MAX);
            looks += 1;
            settling.waited();
            advance(&node, &place, &mut settling).await;
        }
        lock(&node.tables.intents).settle(settling.intent().nonce);
        tracing::info!(event = "outcome_settled", key = place);
    });
}

async fn advance<P: Platform>(node: &Node<P>, place: &str, settling: &mut Settling) {
    loop {
        let said = match settling.step() {
            SettleStep::Replace(version) => replace(node, place, settling.intent(), version).await,
            SettleStep::Read => read(node, place).await,
            SettleStep::Wait | SettleStep::Settled => return,
        };
        settling.apply(&said);
    }
}

async fn create<P: Platform>(node: &Node<P>, place: &str, intent: &Intent) -> StoreResponse {
    let Ok(value) = serde_json::to_value(intent) else { return StoreResponse::Refused };
    written(&node.platform.create(place, &value).await)
}

async fn replace<P: Platform>(
    node: &Node<P>,
    place: &str,
    intent: &Intent,
    version: u64,
) -> StoreResponse {
    let Ok(value) = serde_json::to_value(intent) else { return StoreResponse::Refused };
    written(&node.platform.replace(place, &value, version).await)
}

fn written(result: &Result<u64, PlatformError>) -> StoreResponse {
    match result {
        Ok(version) => StoreResponse::Written(*version),
        Err(PlatformError::Conflict) => StoreResponse::Conflict,
        Err(PlatformError::Refused(_)) => StoreResponse::Refused,
        Err(PlatformError::Unknown(_)) => StoreResponse::Lost,
    }
}

async fn read<P: Platform>(node: &Node<P>, place: &str) -> StoreResponse {
    match node.platform.read(place).await {
        Ok(Some(object)) => found(node, object),
        Ok(None) => StoreResponse::Absent,
        Err(_) => StoreResponse::Lost,
    }
}

fn found<P: Platform>(node: &Node<P>, object: Object) -> StoreResponse {
    let value = object.value.unwrap_or_default();
    let Ok(intent) = serde_json::from_value::<Intent>(value) else {
        tracing::error!(event = "intent_unreadable", key = object.key);
        return StoreResponse::Lost;
    };
    let owner = owner(node, &intent);
    StoreResponse::Found(Box::new(intent), object.version, owner)
}

fn owner<P: Platform>(node: &Node<P>, found: &Intent) -> Owner {
    let own = &node.entry;
    if found.instance == own.instance && found.incarnation == own.incarnation {
        return lock(&node.tables.intents).owner(found.nonce);
    }
    let members = lock(&node.tables.members);
    let alive = members.is_alive(&found.instance, found.incarnation, node.now());
    if alive { Owner::Busy } else { Owner::Gone }
}
