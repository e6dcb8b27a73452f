//! Exchange of objects read from the platform's store between instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::StatusCode;
use nutmeggrade_core::peer::{ConfigReply, EndpointsReply, Revisions};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::StoredRollout;
use nutmeggrade_state::fleet_view::SourceScope;
use nutmeggrade_wire::kinds::Kind;
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::short_call::{CallLimits, transfer_call};
use crate::tables::lock;
use crate::watch::{apply_endpoints_reply, apply_peer_config, apply_peer_objects};

/// Path at which an instance serves the objects that it has read, except endpoints.
pub const OBJECTS_PATH: &str = "/known";
/// Path at which an instance serves the configuration that it has read.
pub const CONFIG_PATH: &str = "/known/config";
/// Path at which an instance serves the endpoints that it has read.
pub const ENDPOINTS_PATH: &str = "/known/endpoints";
/// Timeout of connecting to a peer, and of its response; peers respond in milliseconds.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// The same of a response with all endpoints, whose sender serves several of them at a time over its
/// link.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest response that is accepted: a configuration of a megabyte, or 100,000 endpoints.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// All objects of one kind other than endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum KindObjects {
    /// The routing configuration as the platform wrote it; empty if none came.
    Config(String),
    /// Failure domains that are evacuated.
    #[serde(rename = "Out")]
    Evacuated(BTreeSet<DomainId>),
    /// Rollouts of services to another version.
    Rollouts(Vec<StoredRollout>),
}

/// All objects of one kind at a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KindSnapshot {
    /// Revision of the latest changes.
    pub revision: u64,
    /// The objects.
    #[serde(rename = "known")]
    pub objects: KindObjects,
}

/// Result of a request to a peer that has read a higher revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncOutcome {
    /// This instance has read as much as its peers.
    CaughtUp,
    /// The peer already sends as much to others as its link allows.
    Busy,
    /// No peer is ahead, the peer did not respond, or others are ahead of it.
    Behind,
}

/// Fetches a kind from a peer that has read a higher revision, if there is one.
///
/// The store may refuse some instances and serve others. Without this, the refused ones would keep
/// using removed routes, keys and endpoints, which shows as requests wrongly refused or served by
/// those instances alone.
pub async fn catch_up(node: &Node, kind: Kind, scope: SourceScope) -> SyncOutcome {
    let Some((peer, is_local)) = source(node, kind, scope) else { return SyncOutcome::Behind };
    let started_at = node.now();
    let fetched = match kind {
        Kind::Config => sync_config(node, peer).await,
        Kind::Endpoints => sync_endpoints(node, peer).await,
        Kind::Evacuations | Kind::Rollouts => sync_objects(node, peer, kind).await,
    };
    let bytes = match fetched {
        Ok(Some(bytes)) => bytes,
        Ok(None) => return SyncOutcome::Busy,
        Err(error) => {
            tracing::warn!(event = "catch_up_failed", kind = kind.name(), %peer,
                error = format!("{error:#}"));
            return SyncOutcome::Behind;
        }
    };
    tracing::info!(event = "caught_up", kind = kind.name(), %peer, bytes,
        ms = node.now().since(started_at).as_millis());
    if !is_local || lock(&node.tables).fleet.announcement_rounds() > 1 {
        node.heartbeat_due.notify_one();
    }
    if node.read_state.of(kind).is_behind() { SyncOutcome::Behind } else { SyncOutcome::CaughtUp }
}

/// Returns a live peer that has read a higher revision, and whether it is in the same failure
/// domain.
fn source(node: &Node, kind: Kind, scope: SourceScope) -> Option<(SocketAddr, bool)> {
    let read = node.read_state.of(kind).read();
    let is_ahead = |revisions: &Revisions| revision(revisions, kind) > read;
    let random = usize::from(rand::random::<u16>());
    let (now, fleet) = (node.now(), &lock(&node.tables).fleet);
    fleet.source(is_ahead, scope, random, now)
}

/// Returns the revision of one kind.
pub const fn revision(revisions: &Revisions, kind: Kind) -> u64 {
    match kind {
        Kind::Config => revisions.config,
        Kind::Endpoints => revisions.endpoints,
        Kind::Evacuations => revisions.out,
        Kind::Rollouts => revisions.rollouts,
    }
}

/// Fetches and applies a peer's configuration; returns how many bytes that took, or `None` if the
/// peer is busy.
async fn sync_config(node: &Node, peer: SocketAddr) -> anyhow::Result<Option<usize>> {
    let base = node.config_source().hash().map(|hash| hash.to_string()).unwrap_or_default();
    let path = format!("{CONFIG_PATH}?base={base}");
    let Some(body) = fetch(node, peer, Kind::Config, &path, PEER_TIMEOUT).await? else {
        return Ok(None);
    };
    let reply = ConfigReply::decode(&body).context("decode a peer's configuration")?;
    apply_peer_config(node, reply)?;
    Ok(Some(body.len()))
}

/// Fetches and applies what a peer has read of the endpoints beyond this instance; returns how many
/// bytes that took, or `None` if the peer is busy.
async fn sync_endpoints(node: &Node, peer: SocketAddr) -> anyhow::Result<Option<usize>> {
    let state = node.read_state.of(Kind::Endpoints);
    // A missed change is needed soon, and another peer can send it.
    let timeout = if state.is_loaded() { PEER_TIMEOUT } else { TRANSFER_TIMEOUT };
    let path = format!("{ENDPOINTS_PATH}?since={}", state.read());
    let Some(body) = fetch(node, peer, Kind::Endpoints, &path, timeout).await? else {
        return Ok(None);
    };
    let reply = EndpointsReply::decode(&body).context("decode a peer's endpoints")?;
    apply_endpoints_reply(node, reply);
    Ok(Some(body.len()))
}

/// Fetches and applies a peer's objects of another kind; returns how many bytes that took, or
/// `None` if the peer is busy.
async fn sync_objects(node: &Node, peer: SocketAddr, kind: Kind) -> anyhow::Result<Option<usize>> {
    let path = format!("{OBJECTS_PATH}?kind={}", kind.name());
    let Some(body) = fetch(node, peer, kind, &path, PEER_TIMEOUT).await? else { return Ok(None) };
    let snapshot = serde_json::from_slice(&body).context("decode a peer's objects")?;
    apply_peer_objects(node, kind, &snapshot)?;
    Ok(Some(body.len()))
}

/// Returns a peer's response, or `None` if it is busy. Its bytes are counted before anything is
/// applied.
async fn fetch(
    node: &Node,
    peer: SocketAddr,
    kind: Kind,
    path: &str,
    timeout: Duration,
) -> anyhow::Result<Option<Bytes>> {
    let limits = CallLimits { connect: PEER_TIMEOUT, timeout, max_response: MAX_RESPONSE_BYTES };
    let response = transfer_call(peer, path, limits).await?;
    match response.status() {
        StatusCode::OK => {
            let body = response.into_body();
            node.metrics.fetched_bytes.with_label_values(&[kind.name()]).inc_by(body.len() as u64);
            Ok(Some(body))
        }
        StatusCode::SERVICE_UNAVAILABLE => Ok(None),
        other => anyhow::bail!("{other}"),
    }
}
