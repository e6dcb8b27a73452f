//! Exchange of objects read from the platform's store between instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http::{Method, StatusCode};
use nutmeggrade_core::peer::Revisions;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::rollout::StoredRollout;
use nutmeggrade_core::routing::EndpointInfo;
use nutmeggrade_state::fleet_view::SourceScope;
use nutmeggrade_wire::kinds::Kind;
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::short_call::{CallLimits, short_call};
use crate::tables::lock;
use crate::watch::apply_peer_objects;

/// Path at which an instance serves the objects that it has read.
pub const OBJECTS_PATH: &str = "/known";
/// Timeout of a request to a peer; peers respond in milliseconds.
const PEER_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest response that is accepted: a configuration of a megabyte and some thousand endpoints.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// All objects of one kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum KindObjects {
    /// The routing configuration as the platform wrote it; empty if none came.
    Config(String),
    /// The endpoints.
    Endpoints {
        /// All that are registered.
        all: Vec<EndpointInfo>,
        /// Whether missing endpoints may only have expired during an outage.
        lapses: bool,
    },
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

/// Fetches a kind from a peer that has read a higher revision, if there is one; returns whether
/// this instance has caught up.
///
/// The store may refuse some instances and serve others. Without this, the refused ones would keep
/// using removed routes, keys and endpoints, which shows as requests wrongly refused or served by
/// those instances alone.
pub async fn catch_up(node: &Node, kind: Kind, scope: SourceScope) -> bool {
    let Some((peer, is_local)) = source(node, kind, scope) else { return false };
    let read =
        fetch(peer, kind).await.and_then(|snapshot| apply_peer_objects(node, kind, &snapshot));
    if let Err(error) = read {
        tracing::warn!(event = "catch_up_failed", kind = kind.name(), %peer,
            error = format!("{error:#}"));
        return false;
    }
    tracing::info!(event = "caught_up", kind = kind.name(), %peer);
    if !is_local {
        node.heartbeat_due.notify_one();
    }
    !node.read_state.of(kind).is_behind()
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

async fn fetch(peer: SocketAddr, kind: Kind) -> anyhow::Result<KindSnapshot> {
    let limits = CallLimits {
        connect: PEER_TIMEOUT,
        timeout: PEER_TIMEOUT,
        max_response: MAX_RESPONSE_BYTES,
    };
    let path = format!("{OBJECTS_PATH}?kind={}", kind.name());
    let response = short_call(peer, Method::GET, &path, Vec::new(), limits).await?;
    anyhow::ensure!(response.status() == StatusCode::OK, "{}", response.status());
    serde_json::from_slice(response.body()).context("decode a peer's objects")
}
