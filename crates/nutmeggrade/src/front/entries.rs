//! `GET /v1/entries`: the addresses at which callers can connect.

use nutmeggrade_core::peer::InstanceEntry;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use serde_json::json;
use viz::Request;

use super::reply::Reply;
use crate::node::{Node, Phase};
use crate::tables::lock;

/// Returns the entries in service: a random one first, then those of other failure domains.
pub async fn get<P: Platform>(req: Request) -> Reply {
    let node = super::node::<P>(&req)?;
    let entries = list(&node);
    let ttl_ms = u64::try_from(node.settings.entry_ttl.as_millis()).unwrap_or(u64::MAX);
    let listed: Vec<_> = entries
        .iter()
        .map(|e| json!({ "instance": e.instance, "domain": e.domain, "address": e.caller_address }))
        .collect();
    Ok(super::json(&json!({ "entries": listed, "keep_ms": ttl_ms })))
}

/// Returns the entries that callers may use, in the order in which to try them.
///
/// Instances that are leaving or are in a failure domain that operators took out of service are not
/// listed. If none remains, this instance lists itself, since a caller needs some address.
pub fn list<P: Platform>(node: &Node<P>) -> Vec<InstanceEntry> {
    let config = lock(&node.tables.config).current();
    let is_out =
        |domain: &DomainId| config.as_ref().is_some_and(|c| c.out_domains.contains(domain));
    let mut available: Vec<InstanceEntry> = {
        let members = lock(&node.tables.members);
        members.accepting(node.now()).into_iter().cloned().collect()
    };
    if node.phase() == Phase::Serving && node.check_ready().is_ok() {
        available.push(node.entry.clone());
    }
    available.retain(|e| !is_out(&e.domain));
    if available.is_empty() {
        return vec![node.entry.clone()];
    }
    let start = rand::random_range(0..available.len());
    available.rotate_left(start);
    let first_domain = available[0].domain.clone();
    // Alternates in other failure domains come before those in the domain of the first entry.
    available[1..].sort_by_key(|e| e.domain == first_domain);
    available
}
