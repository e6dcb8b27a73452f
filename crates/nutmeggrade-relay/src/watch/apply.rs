//! Takes over what was read.

use std::collections::BTreeSet;

use anyhow::Context;
use bytes::Bytes;
use nutmeggrade_core::peer::{EndpointNews, FleetNews};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_state::registry::{Change, Registry};
use nutmeggrade_wire::kinds::{CONFIG_NAME, Kind};
use nutmeggrade_wire::store::{Snapshot, StoredObject};
use nutmeggrade_wire::{config, endpoint};
use serde_json::Value;

use crate::fleet_sync::Known;
use crate::node::Node;
use crate::tables::lock;

/// Takes over a whole listing.
pub fn listing(node: &Node, kind: Kind, snapshot: &Snapshot, after_outage: bool) {
    match kind {
        Kind::Config => take_config(node, &snapshot.objects),
        Kind::Endpoints => {
            let all: Vec<EndpointInfo> = snapshot.objects.iter().filter_map(read).collect();
            let left =
                node.change_registry(|registry, now| registry.replace(&all, after_outage, now));
            // Peers whose watches heard nothing of it learn it here, and not when their own end.
            node.tell_leaving(&left);
        }
        Kind::Evacuations => {
            let out = snapshot.objects.iter().filter_map(|o| read_out(&o.name)).collect();
            node.set_out(&out);
        }
    }
}

/// Takes over changes since a revision. `after_outage` says that endpoints' entries may have lapsed.
pub fn changes(node: &Node, kind: Kind, snapshot: &Snapshot, since: u64, after_outage: bool) {
    match kind {
        Kind::Config => take_config(node, &snapshot.objects),
        Kind::Endpoints => take_endpoints(node, snapshot, since, after_outage),
        Kind::Evacuations => {
            let mut out = lock(&node.tables).registry.out().clone();
            for object in &snapshot.objects {
                let Some(domain) = read_out(&object.name) else { continue };
                if object.is_gone {
                    out.remove(&domain);
                } else {
                    out.insert(domain);
                }
            }
            node.set_out(&out);
        }
    }
}

/// Takes over what has changed since a listing that lagged. Peers have it by their own listings.
pub fn rest(node: &Node, kind: Kind, snapshot: &Snapshot, after_outage: bool) {
    if kind != Kind::Endpoints {
        changes(node, kind, snapshot, 0, after_outage);
        return;
    }
    let all: Vec<EndpointNews> = snapshot.objects.iter().filter_map(to_news).collect();
    endpoint_changes(node, &all, after_outage);
}

/// Takes over changes of endpoints, read here or by a peer. `lapses` says that entries that are gone may
/// only have lapsed with the store.
pub fn endpoint_changes(node: &Node, changes: &[EndpointNews], lapses: bool) {
    node.change_registry(|registry, now| {
        changes.iter().filter_map(|c| change(registry, c, lapses, now)).collect()
    });
}

/// Takes over what a peer has read further; says whether it could be read.
pub fn apply_known(node: &Node, known: &Known) -> anyhow::Result<()> {
    let follow = &node.follow;
    if known.revisions.config > follow.track(Kind::Config).read() && !known.config.is_empty() {
        let raw = Bytes::from(known.config.clone().into_bytes());
        let value: Value = serde_json::from_slice(&raw).context("a peer's configuration")?;
        node.set_map(config::read(&value)?, raw);
        follow.track(Kind::Config).note(known.revisions.config, known.revisions.config);
    }
    if known.revisions.endpoints > follow.track(Kind::Endpoints).read() {
        let all = &known.endpoints;
        node.change_registry(|registry, now| registry.replace(all, true, now));
        follow.track(Kind::Endpoints).note(known.revisions.endpoints, known.revisions.endpoints);
    }
    if known.revisions.out > follow.track(Kind::Evacuations).read() {
        node.set_out(&known.out);
        follow.track(Kind::Evacuations).note(known.revisions.out, known.revisions.out);
    }
    Ok(())
}

fn take_endpoints(node: &Node, snapshot: &Snapshot, since: u64, lapses: bool) {
    let changes: Vec<EndpointNews> = snapshot.objects.iter().filter_map(to_news).collect();
    if changes.is_empty() {
        return;
    }
    endpoint_changes(node, &changes, lapses);
    node.hand_on(FleetNews { since, revision: snapshot.revision, lapses, changes });
}

fn take_config(node: &Node, objects: &[StoredObject]) {
    let newest = objects.iter().rfind(|o| o.name == CONFIG_NAME && !o.is_gone);
    let Some(object) = newest else { return };
    match config::read(&object.content) {
        Ok(map) => {
            node.set_map(map, Bytes::from(object.content.to_string()));
        }
        Err(error) => tracing::error!(event = "config_unreadable", error = format!("{error:#}")),
    }
}

fn change(
    registry: &mut Registry,
    news: &EndpointNews,
    lapses: bool,
    now: Moment,
) -> Option<Change> {
    match &news.info {
        Some(info) => registry.put(info, now),
        // Its entry may have lapsed with the store; it is written anew at its next heartbeat if it lives.
        None if lapses => registry.miss(&news.id, now),
        None => registry.remove(&news.id),
    }
}

/// Reads what a changed object says of an endpoint; `None` if it names none. Another program's bytes
/// in the place of an endpoint's entry count as no entry.
fn to_news(object: &StoredObject) -> Option<EndpointNews> {
    let id = EndpointId::new(&object.name).ok()?;
    let info = if object.is_gone { None } else { read(object) };
    Some(EndpointNews { id, info })
}

fn read(object: &StoredObject) -> Option<EndpointInfo> {
    match endpoint::read(&object.name, &object.content) {
        Ok(info) => Some(info),
        Err(error) => {
            tracing::warn!(
                event = "endpoint_unreadable",
                name = object.name,
                error = format!("{error:#}")
            );
            None
        }
    }
}

fn read_out(name: &str) -> Option<DomainId> {
    match endpoint::read_evacuation(name) {
        Ok(domain) => Some(domain),
        Err(error) => {
            tracing::warn!(event = "domain_unreadable", name, error = format!("{error:#}"));
            None
        }
    }
}

/// Returns what a peer may want to know.
pub fn known(node: &Node) -> Known {
    let tables = lock(&node.tables);
    let out: BTreeSet<DomainId> = tables.registry.out().clone();
    Known {
        revisions: node.revisions(),
        config: String::from_utf8_lossy(&node.raw_map()).into_owned(),
        endpoints: tables.registry.all().map(|e| e.info.clone()).collect(),
        out,
    }
}
