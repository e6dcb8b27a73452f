//! Applies objects read from the store or received from peers to the tables.

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

use crate::fleet_sync::{KindObjects, KindSnapshot};
use crate::node::Node;
use crate::tables::lock;

/// Time after a start for which this instance can't tell whether the store had an outage.
const STARTUP_WINDOW: Duration = Duration::from_secs(5);

/// Applies a complete listing.
pub fn listing(node: &Node, kind: Kind, snapshot: &Snapshot, after_outage: bool) {
    match kind {
        Kind::Config => apply_config(node, &snapshot.objects),
        Kind::Endpoints => {
            let all: Vec<EndpointInfo> =
                snapshot.objects.iter().filter_map(read_endpoint).collect();
            let left =
                node.change_registry(|registry, now| registry.replace(&all, after_outage, now));
            // Informs peers whose watches missed the removal; they would otherwise notice it only
            // when their own hold time ends.
            node.broadcast_leaving(&left);
        }
        Kind::Evacuations => {
            let evacuated =
                snapshot.objects.iter().filter_map(|o| read_evacuation(&o.name)).collect();
            node.set_evacuated(&evacuated);
        }
        Kind::Rollouts => {
            let all: Vec<StoredRollout> =
                snapshot.objects.iter().filter_map(read_rollout).collect();
            node.change_rollouts(|rollouts, now| rollouts.replace(&all, now));
        }
    }
}

/// Applies the changes since a revision. `after_outage` means that endpoint entries may have
/// expired.
pub fn changes(node: &Node, kind: Kind, snapshot: &Snapshot, since: u64, after_outage: bool) {
    match kind {
        Kind::Config => apply_config(node, &snapshot.objects),
        Kind::Endpoints => apply_endpoints(node, snapshot, since, after_outage),
        Kind::Evacuations => {
            let mut evacuated = lock(&node.tables).registry.out().clone();
            for object in &snapshot.objects {
                let Some(domain) = read_evacuation(&object.name) else { continue };
                if object.is_gone {
                    evacuated.remove(&domain);
                } else {
                    evacuated.insert(domain);
                }
            }
            node.set_evacuated(&evacuated);
        }
        Kind::Rollouts => node.change_rollouts(|rollouts, now| {
            snapshot.objects.iter().filter_map(|o| change_rollout(rollouts, o, now)).collect()
        }),
    }
}

/// Applies what has changed since a listing that lagged. Peers get these changes from their own
/// listings, so they are not forwarded.
pub fn later_changes(node: &Node, kind: Kind, snapshot: &Snapshot, after_outage: bool) {
    if kind != Kind::Endpoints {
        changes(node, kind, snapshot, 0, after_outage);
        return;
    }
    let all: Vec<EndpointUpdate> = snapshot.objects.iter().filter_map(to_update).collect();
    apply_endpoint_changes(node, &all, after_outage);
}

/// Applies changes of endpoints, read here or by a peer. `lapses` means that missing entries may
/// only have expired during an outage.
pub fn apply_endpoint_changes(node: &Node, changes: &[EndpointUpdate], lapses: bool) {
    if lapses {
        node.read_state.note_outage(node.now());
    }
    node.change_registry(|registry, now| {
        changes.iter().filter_map(|c| apply_change(registry, c, lapses, now)).collect()
    });
}

/// Applies the objects of a peer that has read a higher revision.
///
/// # Errors
///
/// Fails if the peer's configuration can't be read.
pub fn apply_peer_objects(node: &Node, kind: Kind, snapshot: &KindSnapshot) -> anyhow::Result<()> {
    let state = node.read_state.of(kind);
    if snapshot.revision <= state.read() {
        return Ok(());
    }
    match &snapshot.objects {
        KindObjects::Config(config) => {
            let raw = Bytes::from(config.clone().into_bytes());
            let value: Value = serde_json::from_slice(&raw).context("a peer's configuration")?;
            node.set_map(config::read(&value)?, raw);
        }
        KindObjects::Endpoints { all, lapses } => {
            node.change_registry(|registry, now| registry.replace(all, *lapses, now));
        }
        KindObjects::Evacuated(evacuated) => node.set_evacuated(evacuated),
        KindObjects::Rollouts(all) => node.change_rollouts(|table, now| table.replace(all, now)),
    }
    state.note(snapshot.revision, snapshot.revision);
    Ok(())
}

fn apply_endpoints(node: &Node, snapshot: &Snapshot, since: u64, lapses: bool) {
    let changes: Vec<EndpointUpdate> = snapshot.objects.iter().filter_map(to_update).collect();
    if changes.is_empty() {
        return;
    }
    apply_endpoint_changes(node, &changes, lapses);
    node.forward_changes(EndpointUpdateBatch {
        since,
        revision: snapshot.revision,
        lapses,
        changes,
    });
}

fn apply_config(node: &Node, objects: &[StoredObject]) {
    let newest = objects.iter().rfind(|o| o.name == CONFIG_NAME && !o.is_gone);
    let Some(object) = newest else { return };
    match config::read(&object.content) {
        Ok(map) => {
            node.set_map(map, Bytes::from(object.content.to_string()));
        }
        Err(error) => tracing::error!(event = "config_unreadable", error = format!("{error:#}")),
    }
}

fn apply_change(
    registry: &mut Registry,
    update: &EndpointUpdate,
    lapses: bool,
    now: Moment,
) -> Option<Change> {
    match &update.info {
        Some(info) => registry.put(info, now),
        // The entry may have expired during an outage; a live endpoint writes it again at its next
        // heartbeat.
        None if lapses => registry.mark_missing(&update.id, now),
        None => registry.remove(&update.id),
    }
}

/// Reads an endpoint's change from an object; `None` if its name is no endpoint's. Content that
/// can't be read as an endpoint counts as a removed entry.
fn to_update(object: &StoredObject) -> Option<EndpointUpdate> {
    let id = EndpointId::new(&object.name).ok()?;
    let info = if object.is_gone { None } else { read_endpoint(object) };
    Some(EndpointUpdate { id, info })
}

fn read_endpoint(object: &StoredObject) -> Option<EndpointInfo> {
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

fn read_evacuation(name: &str) -> Option<DomainId> {
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

/// Returns all objects of a kind, for a peer.
pub fn objects_for_peer(node: &Node, kind: Kind) -> KindSnapshot {
    // Read before the objects, which may be newer than this revision but never older.
    let revision = node.read_state.of(kind).change_revision();
    let objects = match kind {
        Kind::Config => KindObjects::Config(String::from_utf8_lossy(&node.raw_map()).into_owned()),
        Kind::Endpoints => {
            let now = node.now();
            // A listing just after the start may have missed expired entries.
            let lapses =
                now.since_start() < STARTUP_WINDOW || node.read_state.may_have_expired(now);
            let tables = lock(&node.tables);
            // The remaining cold time in an entry counts from when it was read.
            let current_entry = |e: &Registered| EndpointInfo {
                cold_left: e.cold_until.since(now),
                ..e.info.clone()
            };
            KindObjects::Endpoints {
                all: tables.registry.all().map(current_entry).collect(),
                lapses,
            }
        }
        Kind::Evacuations => KindObjects::Evacuated(lock(&node.tables).registry.out().clone()),
        Kind::Rollouts => KindObjects::Rollouts(lock(&node.tables).rollouts.stored()),
    };
    KindSnapshot { revision, objects }
}
