//! Finds the version at which a stream began that a client takes up.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Method, StatusCode};
use nutmeggrade_core::peer::StreamKey;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::stream_table::STREAM_RETENTION;

use crate::node::Node;
use crate::short_call::{CallLimits, short_call};
use crate::tables::lock;

/// Path at which an instance says what it knows of a stream.
pub const STREAM_PATH: &str = "/known/stream";
/// Number of peers that are asked: more than are told, since instances may disagree for a moment on
/// who is live.
const ASKED_PEERS: usize = 4;
/// Limits of a question; a peer answers within milliseconds.
const LIMITS: CallLimits = CallLimits {
    connect: Duration::from_millis(200),
    timeout: Duration::from_millis(300),
    max_response: 256,
};

/// What is known of where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamOrigin {
    /// At this version.
    Version(VersionId),
    /// Not known, and the service has only had endpoints of this version lately, if they state one.
    Only(Option<VersionId>),
    /// Not known, and the service has or lately had endpoints of several versions.
    Ambiguous,
}

/// Returns what this instance knows of a stream.
pub fn local(node: &Node, stream: Option<StreamKey>, service: &ServiceId) -> StreamOrigin {
    let tables = lock(&node.tables);
    if let Some(version) = stream.and_then(|stream| tables.streams.version(stream)) {
        return StreamOrigin::Version(version.clone());
    }
    let versions = tables.registry.recent_versions(service);
    if versions.len() > 1 {
        return StreamOrigin::Ambiguous;
    }
    StreamOrigin::Only(versions.first().map(|version| VersionId::clone(version)))
}

/// Finds where a stream began, if necessary by asking the peers that should know.
///
/// An instance that has just started doesn't know which versions there were, so that it asks too.
pub async fn find(node: &Node, stream: Option<StreamKey>, service: &ServiceId) -> StreamOrigin {
    let origin = local(node, stream, service);
    let is_certain = match origin {
        StreamOrigin::Version(_) => true,
        StreamOrigin::Only(_) => node.now().since_start() > STREAM_RETENTION,
        StreamOrigin::Ambiguous => false,
    };
    let Some(stream) = stream.filter(|_| !is_certain) else { return origin };
    let keepers = lock(&node.tables).fleet.stream_keepers(stream, ASKED_PEERS, node.now());
    let mut answers: FuturesUnordered<_> =
        keepers.iter().map(|keeper| ask(keeper.control, stream, service)).collect();
    let mut is_ambiguous = origin == StreamOrigin::Ambiguous;
    while let Some(answer) = answers.next().await {
        match answer {
            Ok(StreamOrigin::Version(version)) => return StreamOrigin::Version(version),
            Ok(StreamOrigin::Ambiguous) => is_ambiguous = true,
            Ok(StreamOrigin::Only(_)) => {}
            Err(error) => {
                tracing::info!(event = "stream_question_failed", error = format!("{error:#}"));
            }
        }
    }
    if is_ambiguous { StreamOrigin::Ambiguous } else { origin }
}

/// Asks a peer where a stream began.
async fn ask(
    peer: SocketAddr,
    stream: StreamKey,
    service: &ServiceId,
) -> anyhow::Result<StreamOrigin> {
    let path = format!("{STREAM_PATH}?key={stream}&service={service}");
    let response = short_call(peer, Method::GET, &path, Vec::new(), LIMITS).await?;
    match response.status() {
        StatusCode::OK => {
            let text = std::str::from_utf8(response.body()).context("version")?;
            Ok(StreamOrigin::Version(VersionId::new(text).context("version")?))
        }
        StatusCode::NOT_FOUND => Ok(StreamOrigin::Only(None)),
        StatusCode::CONFLICT => Ok(StreamOrigin::Ambiguous),
        other => anyhow::bail!("{other}"),
    }
}
