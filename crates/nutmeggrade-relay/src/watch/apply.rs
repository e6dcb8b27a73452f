//! Applies objects read from the store or received from peers to the tables.

use anyhow::Context;
use bytes::Bytes;
use nutmeggrade_core::peer::{
    ConfigReply, EndpointChange, EndpointChanges, EndpointGroups, EndpointUpdateBatch,
    EndpointsReply, PackedText, TextHash,
};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::{RolloutNotice, StoredRollout};
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_core::version_record::ServiceVersions;
use nutmeggrade_state::packing;
use nutmeggrade_state::registry::{Change, Registered, Registry};
use nutmeggrade_state::rollout::RolloutTable;
use nutmeggrade_wire::kinds::{CONFIG_NAME, Kind};
use nutmeggrade_wire::store::{Part, Snapshot, StoredObject, Unreadable};
use nutmeggrade_wire::{config, endpoint, rollout};

use crate::config_source::ConfigSource;
use crate::fleet_sync::{KindObjects, KindSnapshot};
use crate::node::Node;
use crate::tables::lock;

/// Applies a complete listing.
pub fn listing(node: &Node, kind: Kind, snapshot: &Snapshot, after_outage: bool) {
    match kind {
        Kind::Config => apply_config(node, &snapshot.objects),
        Kind::Endpoints => {
            let all: Vec<EndpointInfo> =
                snapshot.objects.iter().filter_map(|o| read_endpoint(node, o)).collect();
            let left =
                node.change_registry(|registry, now| registry.replace(&all, after_outage, now));
            lock(&node.tables).change_log.clear();
            // Informs peers whose watches missed the removal; they would otherwise notice it only
            // when their own hold time ends.
            node.broadcast_leaving(&left);
        }
        Kind::Evacuations => {
            let evacuated =
                snapshot.objects.iter().filter_map(|o| read_evacuation(node, o)).collect();
            node.set_evacuated(&evacuated);
        }
        Kind::Rollouts => {
            let all: Vec<StoredRollout> =
                snapshot.objects.iter().filter_map(|o| read_rollout(node, o)).collect();
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
                let Some(domain) = read_evacuation(node, object) else { continue };
                if object.is_gone {
                    evacuated.remove(&domain);
                } else {
                    evacuated.insert(domain);
                }
            }
            node.set_evacuated(&evacuated);
        }
        Kind::Rollouts => node.change_rollouts(|rollouts, now| {
            snapshot.objects.iter().filter_map(|o| change_rollout(node, rollouts, o, now)).collect()
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
    let changes = EndpointChanges::new(snapshot.objects.iter().filter_map(|o| to_change(node, o)));
    apply_endpoint_changes(node, &changes, after_outage);
}

/// Applies changes of endpoints. `lapses` means that missing entries may only have expired during an
/// outage.
fn apply_endpoint_changes(node: &Node, changes: &EndpointChanges, lapses: bool) {
    if lapses {
        node.read_state.note_outage(node.now());
    }
    node.change_registry(|registry, now| {
        changes.iter().filter_map(|c| apply_change(registry, c, lapses, now)).collect()
    });
}

/// Applies endpoint changes that a peer has read.
///
/// If this instance has not read up to the revision that they start from, changes in between are
/// missing, and the follower is woken instead.
pub fn apply_peer_changes(node: &Node, batch: EndpointUpdateBatch) {
    let state = node.read_state.of(Kind::Endpoints);
    let read = state.read();
    if read >= batch.revision {
        return;
    }
    if read < batch.since || !state.is_loaded() {
        state.note_peer_revision(batch.revision);
        return;
    }
    apply_endpoint_changes(node, &batch.changes, batch.lapses);
    let revision = batch.revision;
    log_changes(node, batch);
    state.note(revision, revision);
}

/// Applies a peer's reply about endpoints.
pub fn apply_endpoints_reply(node: &Node, reply: EndpointsReply) {
    let state = node.read_state.of(Kind::Endpoints);
    match reply {
        EndpointsReply::Changes(batch) => apply_peer_changes(node, batch),
        EndpointsReply::All { revision, lapses, endpoints } if revision > state.read() => {
            let all: Vec<EndpointInfo> = endpoints.endpoints().collect();
            node.change_registry(|registry, now| registry.replace(&all, lapses, now));
            lock(&node.tables).change_log.clear();
            state.note(revision, revision);
        }
        EndpointsReply::All { .. } => {}
    }
}

/// Remembers changes for peers. More changes than there are endpoints are no use to them.
fn log_changes(node: &Node, batch: EndpointUpdateBatch) {
    let tables = &mut *lock(&node.tables);
    tables.change_log.push(batch, tables.registry.len());
}

/// Returns what this instance has read of the endpoints beyond a peer's revision.
pub fn endpoints_since(node: &Node, revision: u64) -> EndpointsReply {
    // Read before the endpoints, which may be newer than this revision but never older.
    let own_revision = node.read_state.of(Kind::Endpoints).change_revision();
    let now = node.now();
    let tables = lock(&node.tables);
    if let Some(batch) = tables.change_log.since(revision) {
        return EndpointsReply::Changes(batch);
    }
    let lapses = node.may_have_expired();
    // The remaining cold time in an entry counts from when it was read.
    let current_entry =
        |e: &Registered| EndpointInfo { cold_left: e.cold_until.since(now), ..e.info.clone() };
    let endpoints = EndpointGroups::new(tables.registry.all().map(current_entry));
    EndpointsReply::All { revision: own_revision, lapses, endpoints }
}

/// Applies the configuration of a peer that has read a higher revision.
///
/// # Errors
///
/// Fails if the peer's configuration can't be unpacked or read.
pub fn apply_peer_config(node: &Node, reply: ConfigReply) -> anyhow::Result<()> {
    let state = node.read_state.of(Kind::Config);
    if reply.revision <= state.read() {
        return Ok(());
    }
    let own = node.config_source();
    if own.hash() != Some(reply.text.hash) {
        let text = Bytes::from(packing::unpack(&reply.text, own.text())?);
        let map =
            config::read_text(&text).context("a peer's configuration").inspect_err(|error| {
                let name = CONFIG_NAME.as_bytes();
                let object = Unreadable::new(name, reply.revision, Part::Specification);
                node.report_unreadable(Kind::Config, &object, error);
            })?;
        let source = ConfigSource::received(text, reply.text).with_revision(reply.revision);
        node.set_map(map, source);
    }
    state.note(reply.revision, reply.revision);
    Ok(())
}

/// Returns the configuration for a peer that has the text with the hash `base`.
///
/// # Errors
///
/// Fails if the compressor does.
pub fn config_for_peer(node: &Node, base: Option<TextHash>) -> anyhow::Result<ConfigReply> {
    // Read before the configuration, which may be newer than this revision but never older.
    let revision = node.read_state.of(Kind::Config).change_revision();
    let text = node.config_source().packed_for(base).context("pack the configuration")?;
    Ok(ConfigReply { revision, text: PackedText::clone(&text) })
}

/// Applies the objects of a peer that has read a higher revision. Configurations and endpoints come in
/// other forms.
///
/// # Errors
///
/// Fails if the peer sent a configuration.
pub fn apply_peer_objects(node: &Node, kind: Kind, snapshot: &KindSnapshot) -> anyhow::Result<()> {
    let state = node.read_state.of(kind);
    if snapshot.revision <= state.read() {
        return Ok(());
    }
    match &snapshot.objects {
        KindObjects::Config(_) => anyhow::bail!("a configuration among {}", kind.name()),
        KindObjects::Evacuated(evacuated) => node.set_evacuated(evacuated),
        KindObjects::Rollouts(all) => node.change_rollouts(|table, now| table.replace(all, now)),
    }
    state.note(snapshot.revision, snapshot.revision);
    Ok(())
}

fn apply_endpoints(node: &Node, snapshot: &Snapshot, since: u64, lapses: bool) {
    let changes = EndpointChanges::new(snapshot.objects.iter().filter_map(|o| to_change(node, o)));
    if changes.is_empty() {
        return;
    }
    apply_endpoint_changes(node, &changes, lapses);
    let batch = EndpointUpdateBatch { since, revision: snapshot.revision, lapses, changes };
    node.forward_changes(&batch);
    log_changes(node, batch);
}

/// Applies the newest configuration that can be read; the one in force stays if there is none.
fn apply_config(node: &Node, objects: &[StoredObject]) {
    let mut newest_first = objects.iter().rev().filter(|o| o.name == CONFIG_NAME && !o.is_gone);
    let read = |object: &StoredObject| match config::read(&object.content) {
        Ok(map) => {
            let source = ConfigSource::new(Bytes::from(object.content.to_string()))
                .with_revision(object.revision);
            Some((map, source))
        }
        Err(error) => {
            report(node, Kind::Config, object, &error);
            None
        }
    };
    if let Some((map, source)) = newest_first.find_map(read) {
        node.set_map(map, source.with_previous(&node.config_source()));
    }
}

fn apply_change(
    registry: &mut Registry,
    change: EndpointChange,
    lapses: bool,
    now: Moment,
) -> Option<Change> {
    match change {
        EndpointChange::Entry(info) => registry.put(&info, now),
        EndpointChange::Leaving(id, born) => registry.leave_incarnation(&id, born, now),
        // The entry may have expired during an outage; a live endpoint writes it again at its next
        // heartbeat.
        EndpointChange::Gone(id) if lapses => registry.mark_missing(&id, now),
        EndpointChange::Gone(id) => registry.remove(&id, now),
    }
}

/// Reads an endpoint's change from an object; `None` if its name is no endpoint's. Content that
/// can't be read as an endpoint counts as a removed entry.
fn to_change(node: &Node, object: &StoredObject) -> Option<EndpointChange> {
    let info = if object.is_gone { None } else { read_endpoint(node, object) };
    Some(match info {
        Some(info) if info.leaving => EndpointChange::Leaving(info.id, info.born),
        Some(info) => EndpointChange::Entry(info),
        None => EndpointChange::Gone(EndpointId::new(&object.name).ok()?),
    })
}

fn read_endpoint(node: &Node, object: &StoredObject) -> Option<EndpointInfo> {
    let info = endpoint::read(&object.name, &object.content);
    info.map_err(|error| report(node, Kind::Endpoints, object, &error)).ok()
}

fn read_evacuation(node: &Node, object: &StoredObject) -> Option<DomainId> {
    let domain = endpoint::read_evacuation(&object.name);
    domain.map_err(|error| report(node, Kind::Evacuations, object, &error)).ok()
}

/// Returns the versions of the endpoints among some objects.
pub fn versions(snapshot: &Snapshot) -> ServiceVersions {
    let mut versions = ServiceVersions::new();
    for object in snapshot.objects.iter().filter(|object| !object.is_gone) {
        let Ok(info) = endpoint::read(&object.name, &object.content) else { continue };
        let Some(version) = info.version else { continue };
        versions.entry(info.service).or_default().insert(version);
    }
    versions
}

fn change_rollout(
    node: &Node,
    rollouts: &mut RolloutTable,
    object: &StoredObject,
    now: Moment,
) -> Option<RolloutNotice> {
    if object.is_gone {
        return rollouts.remove(&ServiceId::new(&object.name).ok()?, now);
    }
    rollouts.put(&read_rollout(node, object)?, now)
}

fn read_rollout(node: &Node, object: &StoredObject) -> Option<StoredRollout> {
    let rollout = rollout::read(object);
    rollout.map_err(|error| report(node, Kind::Rollouts, object, &error)).ok()
}

/// Reports an object whose parts can be decoded, but don't say what its kind needs.
fn report(node: &Node, kind: Kind, object: &StoredObject, error: &anyhow::Error) {
    if object.is_gone {
        return;
    }
    let object = Unreadable::new(object.name.as_bytes(), object.revision, Part::Specification);
    node.report_unreadable(kind, &object, error);
}

/// Returns all objects of a kind for a peer; `None` for endpoints, which are sent in another form.
pub fn objects_for_peer(node: &Node, kind: Kind) -> Option<KindSnapshot> {
    // Read before the objects, which may be newer than this revision but never older.
    let revision = node.read_state.of(kind).change_revision();
    let objects = match kind {
        Kind::Config => {
            let source = node.config_source();
            KindObjects::Config(String::from_utf8_lossy(source.text()).into_owned())
        }
        Kind::Endpoints => return None,
        Kind::Evacuations => KindObjects::Evacuated(lock(&node.tables).registry.out().clone()),
        Kind::Rollouts => KindObjects::Rollouts(lock(&node.tables).rollouts.stored()),
    };
    Some(KindSnapshot { revision, objects })
}
