//! Reads and writes the records of services' versions in the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::version_record::{ServiceVersions, StoredVersions, VersionsWrite};
use nutmeggrade_state::version_keeper::VersionKeeper;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::store::{ObjectWrite, Snapshot};
use nutmeggrade_wire::version_record;
use tokio::sync::Mutex;
use tokio::time::{sleep, timeout};

use crate::node::Node;
use crate::tables::lock;
use crate::watch::{CallReason, StoreCalls};

/// Interval between two checks whether a record has to change.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the start by which the first reader is known.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// Longest time for which the endpoints of a new version wait until it is recorded: a store that
/// refuses writes must not keep them out of use. Beside another version, a new one gets no work for a
/// second anyway.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Silence of the store after which the absence of versions is observed anew.
const MAX_GAP: Duration = Duration::from_secs(30);
/// Rounds of writes at a time, each after conflicts with other writers.
const MAX_ROUNDS: usize = 4;

/// The records of all services, and when their reading began.
type Reading = Option<(Moment, Option<Arc<BTreeMap<ServiceId, StoredVersions>>>)>;

/// Records of services' versions in the store. The keeper is locked before the tables.
#[derive(Debug, Default)]
pub struct VersionRecords {
    keeper: Mutex<VersionKeeper>,
    last: Mutex<Reading>,
    /// When this instance last read endpoints for others.
    endpoints_read: std::sync::Mutex<Moment>,
}

/// Reads the records of all services after this call; `None` if the store doesn't give them. One
/// reading serves all calls that waited for it to begin.
pub async fn read(node: &Node) -> Option<Arc<BTreeMap<ServiceId, StoredVersions>>> {
    let asked_at = node.now();
    let mut last = node.version_records.last.lock().await;
    if let Some((started_at, records)) = &*last
        && *started_at >= asked_at
    {
        return records.clone();
    }
    let started_at = node.now();
    let records = match StoreCalls::new(node).list_versions(CallReason::TakeUp).await {
        Ok(listing) => {
            let all = decode(&listing).into_iter();
            Some(Arc::new(all.map(|stored| (stored.service.clone(), stored)).collect()))
        }
        Err(error) => {
            tracing::warn!(event = "versions_unread", %error);
            None
        }
    };
    *last = Some((started_at, records.clone()));
    records
}

/// Records the versions among these of which no endpoint is registered, before any is. After a gap
/// a registered version may have gone, been removed from the record and come back, so that all count
/// as new. Returns without success after [`MAX_WAIT`]; the first reader goes on.
pub async fn record_new(node: &Node, versions: &ServiceVersions) {
    let now = node.now();
    let last_read = std::mem::replace(&mut *lock(&node.version_records.endpoints_read), now);
    let registered = if now.since(last_read) > MAX_GAP {
        ServiceVersions::new()
    } else {
        lock(&node.tables).registry.registered_versions()
    };
    let mut new = versions.clone();
    new.retain(|service, versions| {
        let known = registered.get(service);
        versions.retain(|version| !known.is_some_and(|known| known.contains(version)));
        !versions.is_empty()
    });
    if new.is_empty() {
        return;
    }
    let recorded = timeout(MAX_WAIT, async {
        let mut keeper = node.version_records.keeper.lock().await;
        load(node, &mut keeper).await?;
        write_all(node, &mut keeper, |keeper| keeper.additions(&new)).await
    });
    if let Err(error) = recorded.await.context("no answer in time").flatten() {
        tracing::warn!(event = "versions_unrecorded", error = format!("{error:#}"));
        // Whoever holds the keeper may wait for the store for long; it forgets by its own failure.
        if let Ok(mut keeper) = node.version_records.keeper.try_lock() {
            keeper.forget();
        }
    }
}

/// Keeps the records up to date on the first reader, for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut checked_at = node.now();
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let gap = now.since(checked_at);
        checked_at = now;
        if now.since_start() < DISCOVERY_TIME {
            continue;
        }
        let mut keeper = node.version_records.keeper.lock().await;
        if !is_responsible(&node, now) || gap > MAX_GAP {
            keeper.forget();
            continue;
        }
        if let Err(error) = update(&node, &mut keeper).await {
            tracing::warn!(event = "versions_unrecorded", error = format!("{error:#}"));
            keeper.forget();
        }
    }
}

/// Returns whether this instance keeps the records: it is the first reader, and reads the endpoints
/// without gaps.
fn is_responsible(node: &Node, now: Moment) -> bool {
    let endpoints = node.read_state.of(Kind::Endpoints);
    endpoints.is_loaded()
        && endpoints.is_available()
        && endpoints.answer_age(now) <= MAX_GAP
        && lock(&node.tables).fleet.is_first_reader(now)
}

/// Records the versions of the registered endpoints, and retires those without any.
async fn update(node: &Node, keeper: &mut VersionKeeper) -> anyhow::Result<()> {
    // The revision is read before the endpoints, which may be newer.
    let read = node.read_state.of(Kind::Endpoints).read();
    let live = lock(&node.tables).registry.registered_versions();
    if !keeper.is_loaded() {
        if live.is_empty() {
            return Ok(());
        }
        load(node, keeper).await?;
    }
    write_all(node, keeper, |keeper| keeper.additions(&live)).await?;
    for write in keeper.retirements(&live, read, node.now()) {
        perform(node, keeper, &write).await?;
    }
    Ok(())
}

async fn load(node: &Node, keeper: &mut VersionKeeper) -> anyhow::Result<()> {
    let listing = StoreCalls::new(node).list_versions(CallReason::Versions).await?;
    keeper.replace(decode(&listing));
    Ok(())
}

/// Performs the planned writes, and plans anew after conflicts.
async fn write_all(
    node: &Node,
    keeper: &mut VersionKeeper,
    plan: impl Fn(&VersionKeeper) -> Vec<VersionsWrite>,
) -> anyhow::Result<()> {
    for _ in 0..MAX_ROUNDS {
        let writes = plan(keeper);
        if writes.is_empty() {
            return Ok(());
        }
        for write in &writes {
            perform(node, keeper, write).await?;
        }
    }
    anyhow::bail!("each write was in conflict with another one")
}

/// Performs a write, and updates the keeper with what the store then holds. A write whose answer was
/// lost may still take effect while its condition holds, which is as good as at once.
async fn perform(
    node: &Node,
    keeper: &mut VersionKeeper,
    write: &VersionsWrite,
) -> anyhow::Result<()> {
    let written = StoreCalls::new(node).write_versions(write).await;
    let (end, object) = match &written {
        Ok(ObjectWrite::Written(object)) => ("written", Some(object)),
        Ok(ObjectWrite::Conflict(object)) => ("conflict", object.as_ref()),
        Err(_) => ("failed", None),
    };
    node.metrics.versions.writes.with_label_values(&[end]).inc();
    let versions: Vec<&str> = write.record.versions.keys().map(VersionId::as_str).collect();
    tracing::info!(event = "versions_recorded", service = %write.service,
        versions = versions.join(","), end);
    match object.map(version_record::read) {
        Some(Ok(stored)) => keeper.put(stored),
        // The object of a conflict is missing where it was created or removed by others.
        Some(Err(_)) | None if written.is_ok() => load(node, keeper).await?,
        Some(Err(_)) | None => {}
    }
    written.map(drop).map_err(Into::into)
}

fn decode(listing: &Snapshot) -> Vec<StoredVersions> {
    let stored = |object| match version_record::read(object) {
        Ok(stored) => {
            if stored.record.is_none() {
                tracing::warn!(event = "versions_unreadable", service = %stored.service);
            }
            Some(stored)
        }
        Err(error) => {
            let error = format!("{error:#}");
            tracing::warn!(event = "versions_unreadable", name = object.name, error);
            None
        }
    };
    listing.objects.iter().filter_map(stored).collect()
}
