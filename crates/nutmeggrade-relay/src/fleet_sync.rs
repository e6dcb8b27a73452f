//! What instances hand on to each other of what they read from the platform.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use http::{Method, StatusCode};
use nutmeggrade_core::peer::Revisions;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::EndpointInfo;
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

/// What an instance has read of the platform's store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Known {
    /// The revisions of the last news.
    pub revisions: Revisions,
    /// The routing configuration as the platform wrote it; empty if none came.
    pub config: String,
    /// The endpoints.
    pub endpoints: Vec<EndpointInfo>,
    /// Failure domains that are out.
    pub out: BTreeSet<DomainId>,
}

/// Asks a peer that has read further, if there is one.
///
/// The store may turn away some instances and serve the others. Those would go on with routes, keys
/// and endpoints that are gone, and one would notice requests that are refused or run by the
/// instances that are turned away only.
pub async fn catch_up(node: &Node) {
    let Some(peer) = ahead(node) else { return };
    match ask(peer).await.and_then(|known| apply_known(node, &known)) {
        Ok(()) => tracing::info!(event = "caught_up", peer = %peer),
        Err(error) => {
            tracing::warn!(event = "catch_up_failed", peer = %peer, error = format!("{error:#}"));
        }
    }
}

/// Returns a live peer that has read any kind of object further.
fn ahead(node: &Node) -> Option<SocketAddr> {
    let now = node.now();
    let read = |kind| node.follow.track(kind).read();
    let tables = lock(&node.tables);
    let fleet = &tables.fleet;
    let config = fleet.ahead(|r| r.config, read(Kind::Config), now);
    let endpoints = fleet.ahead(|r| r.endpoints, read(Kind::Endpoints), now);
    let out = fleet.ahead(|r| r.out, read(Kind::Evacuations), now);
    config.or(endpoints).or(out).map(|(peer, _)| peer)
}

async fn ask(peer: SocketAddr) -> anyhow::Result<Known> {
    let bounds = Bounds { connect: PATIENCE, patience: PATIENCE, answer: MAX_ANSWER };
    let (status, body) = short_call(peer, Method::GET, KNOWN_PATH, Vec::new(), bounds).await?;
    anyhow::ensure!(status == StatusCode::OK, "{status}");
    serde_json::from_slice(&body).context("decode what a peer knows")
}
