//! `GET /v1/entries`: which address a caller uses.

use nutmeggrade_core::peer::Entry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use serde_json::json;
use viz::Request;

use super::reply::Reply;
use crate::node::{Node, Phase};
use crate::tables::lock;

/// Answers with the entries in service, a random one first, then one of each other domain.
pub async fn get<P: Platform>(req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    let entries = list(&node);
    let keep_ms = u64::try_from(node.settings.entry_keep.as_millis()).unwrap_or(u64::MAX);
    let shown: Vec<_> = entries
        .iter()
        .map(|e| json!({ "instance": e.instance, "domain": e.domain, "address": e.caller_address }))
        .collect();
    Ok(super::json(&json!({ "entries": shown, "keep_ms": keep_ms })))
}

/// Lists the entries that callers may use, in the order in which to try them.
///
/// An instance in a failure domain that operators took out, or one that leaves, is not listed. With
/// no other left this instance names itself: a caller with an address is better off than without.
pub fn list<P: Platform>(node: &Node<P>) -> Vec<Entry> {
    let config = lock(&node.tables.config).current();
    let out = |domain: &DomainId| config.as_ref().is_some_and(|c| c.out_domains.contains(domain));
    let mut open: Vec<Entry> = {
        let members = lock(&node.tables.members);
        members.open(node.now()).into_iter().cloned().collect()
    };
    if node.phase() == Phase::Serving && node.may_work().is_ok() {
        open.push(node.entry.clone());
    }
    open.retain(|e| !out(&e.domain));
    if open.is_empty() {
        return vec![node.entry.clone()];
    }
    let start = rand::random_range(0..open.len());
    open.rotate_left(start);
    let first = open[0].domain.clone();
    // The alternates of other failure domains come before those of the first one's.
    open[1..].sort_by_key(|e| e.domain == first);
    open
}
