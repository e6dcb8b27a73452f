//! Takes over what was read.

use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use nutmeggrade_core::peer::{EndpointUpdate, EndpointUpdateBatch};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutNotice, StoredRollout};
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_state::registry::{Change, Registered, Registry};
use nutmeggrade_state::rollout::RolloutTable;
use nutmeggrade_wire::kinds::{CONFIG_NAME, Kind};
use nutmeggrade_wire::store::{Snapshot, StoredObject};
use nutmeggrade_wire::{config, endpoint, rollout};
use serde_json::Value;

use crate::fleet_sync::{Known, KnownAt};
use crate::node::Node;
use crate::tables::lock;

/// Time after a start in which it is not known whether the store was just away.
const FRESH: Duration = Duration::from_secs(5);

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
        Kind::Rollouts => {
            let all: Vec<StoredRollout> =
                snapshot.objects.iter().filter_map(read_rollout).collect();
            node.change_rollouts(|rollouts, now| rollouts.replace(&all, now));
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
        Kind::Rollouts => node.change_rollouts(|rollouts, now| {
            snapshot.objects.iter().filter_map(|o| change_rollout(rollouts, o, now)).collect()
        }),
    }
}

/// Takes over what has changed since a listing that lagged. Peers have it by their own listings.
pub fn rest(node: &Node, kind: Kind, snapshot: &Snapshot, after_outage: bool) {
    if kind != Kind::Endpoints {
        changes(node, kind, snapshot, 0, after_outage);
        return;
    }
    let all: Vec<EndpointUpdate> = snapshot.objects.iter().filter_map(to_news).collect();
    endpoint_changes(node, &all, after_outage);
}

/// Takes over changes of endpoints, read here or by a peer. `lapses` says that entries that are gone may
/// only have lapsed with the store.
pub fn endpoint_changes(node: &Node, changes: &[EndpointUpdate], lapses: bool) {
    if lapses {
        node.follow.note_lapses(node.now());
    }
    node.change_registry(|registry, now| {
        changes.iter().filter_map(|c| change(registry, c, lapses, now)).collect()
    });
}

/// Takes over what a peer has read further; says whether it could be read.
pub fn apply_known(node: &Node, kind: Kind, known: &KnownAt) -> anyhow::Result<()> {
    let track = node.follow.track(kind);
    if known.revision <= track.read() {
        return Ok(());
    }
    match &known.known {
        Known::Config(config) => {
            let raw = Bytes::from(config.clone().into_bytes());
            let value: Value = serde_json::from_slice(&raw).context("a peer's configuration")?;
            node.set_map(config::read(&value)?, raw);
        }
        Known::Endpoints { all, lapses } => {
            node.change_registry(|registry, now| registry.replace(all, *lapses, now));
        }
        Known::Out(out) => node.set_out(out),
        Known::Rollouts(all) => node.change_rollouts(|rollouts, now| rollouts.replace(all, now)),
    }
    track.note(known.revision, known.revision);
    Ok(())
}

fn take_endpoints(node: &Node, snapshot: &Snapshot, since: u64, lapses: bool) {
    let changes: Vec<EndpointUpdate> = snapshot.objects.iter().filter_map(to_news).collect();
    if changes.is_empty() {
        return;
    }
    endpoint_changes(node, &changes, lapses);
    node.hand_on(EndpointUpdateBatch { since, revision: snapshot.revision, lapses, changes });
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
    news: &EndpointUpdate,
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
fn to_news(object: &StoredObject) -> Option<EndpointUpdate> {
    let id = EndpointId::new(&object.name).ok()?;
    let info = if object.is_gone { None } else { read(object) };
    Some(EndpointUpdate { id, info })
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

fn change_rollout(
    rollouts: &mut RolloutTable,
    object: &StoredObject,
    now: Moment,
) -> Option<RolloutNotice> {
    if object.is_gone {
        return rollouts.remove(&ServiceId::new(&object.name).ok()?, now);
    }
    rollouts.put(&read_rollout(object)?, now)
}

fn read_rollout(object: &StoredObject) -> Option<StoredRollout> {
    match rollout::read(object) {
        Ok(rollout) => Some(rollout),
        Err(error) => {
            let code = Code::BadRollout;
            tracing::warn!(
                event = "rollout_unreadable",
                service = object.name,
                code = code.number(),
                name = code.name(),
                error = format!("{error:#}")
            );
            None
        }
    }
}

/// Returns what a peer may want to know of a kind.
pub fn known(node: &Node, kind: Kind) -> KnownAt {
    // Read before the objects, which may already be newer than it says but never older.
    let revision = node.follow.track(kind).news();
    let known = match kind {
        Kind::Config => Known::Config(String::from_utf8_lossy(&node.raw_map()).into_owned()),
        Kind::Endpoints => {
            let now = node.now();
            // Who has only just started may have listed while entries were lapsed.
            let lapses = now.since_start() < FRESH || node.follow.may_lapse(now);
            let tables = lock(&node.tables);
            // Entries tell how long an endpoint stays cold from when they were read.
            let as_of_now = |e: &Registered| EndpointInfo {
                cold_left: e.cold_until.since(now),
                ..e.info.clone()
            };
            Known::Endpoints { all: tables.registry.all().map(as_of_now).collect(), lapses }
        }
        Kind::Evacuations => Known::Out(lock(&node.tables).registry.out().clone()),
        Kind::Rollouts => Known::Rollouts(lock(&node.tables).rollouts.stored()),
    };
    KnownAt { revision, known }
}
