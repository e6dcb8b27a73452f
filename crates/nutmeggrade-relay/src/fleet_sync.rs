//! What instances hand on to each other of what they read from the platform.

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
use crate::short_call::{Bounds, short_call};
use crate::tables::lock;
use crate::watch::apply_known;

/// Where an instance hands on what it has read.
pub const KNOWN_PATH: &str = "/known";
/// Longest wait for a peer's answer; peers answer in milliseconds.
const PATIENCE: Duration = Duration::from_millis(800);
/// Largest answer that is read: a configuration of a megabyte and some thousand endpoints.
const MAX_ANSWER: usize = 4 << 20;

/// All objects of one kind, as an instance has read them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Known {
    /// The routing configuration as the platform wrote it; empty if none came.
    Config(String),
    /// The endpoints.
    Endpoints {
        /// All that are registered.
        all: Vec<EndpointInfo>,
        /// Whether others may only have lapsed with the store.
        lapses: bool,
    },
    /// Failure domains that are out.
    Out(BTreeSet<DomainId>),
    /// Orders to move services to another version.
    Rollouts(Vec<StoredRollout>),
}

/// What an instance has read of one kind of object.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KnownAt {
    /// The revision of the last news.
    pub revision: u64,
    /// The objects.
    pub known: Known,
}

/// Asks a peer that has read further, if there is one; says whether this instance has caught up.
///
/// The store may turn away some instances and serve the others. Those would go on with routes, keys
/// and endpoints that are gone, and one would notice requests that are refused or run by the
/// instances that are turned away only.
pub async fn catch_up(node: &Node, kind: Kind, reach: SourceScope) -> bool {
    let Some((peer, is_near)) = source(node, kind, reach) else { return false };
    let read = ask(peer, kind).await.and_then(|known| apply_known(node, kind, &known));
    if let Err(error) = read {
        tracing::warn!(event = "catch_up_failed", kind = kind.name(), %peer,
            error = format!("{error:#}"));
        return false;
    }
    tracing::info!(event = "caught_up", kind = kind.name(), %peer);
    if !is_near {
        node.announce.notify_one();
    }
    !node.follow.track(kind).is_behind()
}

/// Returns a live peer that has read a kind further, and whether it is in the same failure domain.
fn source(node: &Node, kind: Kind, reach: SourceScope) -> Option<(SocketAddr, bool)> {
    let read = node.follow.track(kind).read();
    let is_ahead = |revisions: &Revisions| revision(revisions, kind) > read;
    let lot = usize::from(rand::random::<u16>());
    let (now, fleet) = (node.now(), &lock(&node.tables).fleet);
    fleet.source(is_ahead, reach, lot, now)
}

/// Returns how far a kind is read.
pub const fn revision(revisions: &Revisions, kind: Kind) -> u64 {
    match kind {
        Kind::Config => revisions.config,
        Kind::Endpoints => revisions.endpoints,
        Kind::Evacuations => revisions.out,
        Kind::Rollouts => revisions.rollouts,
    }
}

async fn ask(peer: SocketAddr, kind: Kind) -> anyhow::Result<KnownAt> {
    let bounds = Bounds { connect: PATIENCE, patience: PATIENCE, answer: MAX_ANSWER };
    let path = format!("{KNOWN_PATH}?kind={}", kind.name());
    let (status, body) = short_call(peer, Method::GET, &path, Vec::new(), bounds).await?;
    anyhow::ensure!(status == StatusCode::OK, "{status}");
    serde_json::from_slice(&body).context("decode what a peer knows")
}
