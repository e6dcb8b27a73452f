//! Finds the version at which a stream began that a client takes up.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Method, StatusCode};
use nutmeggrade_core::peer::StreamKey;
use nutmeggrade_core::prelude::*;
use nutmeggrade_state::only_version::OnlyVersion;

use crate::node::Node;
use crate::short_call::{CallLimits, short_call};
use crate::tables::lock;
use crate::version_records;

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

impl StreamOrigin {
    /// Returns the name used in logs and metrics.
    const fn name(&self) -> &'static str {
        match self {
            Self::Version(_) => "known",
            Self::Only(_) => "only_version",
            Self::Ambiguous => "ambiguous",
        }
    }
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

/// Finds where a stream began, if necessary by asking the peers that should know, and then in the
/// store.
pub async fn find(node: &Node, stream: Option<StreamKey>, service: &ServiceId) -> StreamOrigin {
    let (origin, source) = search(node, stream, service).await;
    node.metrics.versions.origins.with_label_values(&[origin.name(), source]).inc();
    tracing::info!(event = "stream_origin", %service, end = origin.name(), source);
    origin
}

/// Returns where a stream began, and what said so.
///
/// That no instance knows of a second version doesn't mean that there was none: all that knew may be
/// lost, or out of reach.
async fn search(
    node: &Node,
    stream: Option<StreamKey>,
    service: &ServiceId,
) -> (StreamOrigin, &'static str) {
    let own = local(node, stream, service);
    if matches!(own, StreamOrigin::Version(_)) {
        return (own, "own");
    }
    let peers = match stream {
        Some(stream) => ask_peers(node, stream, service).await,
        None => StreamOrigin::Only(None),
    };
    match (peers, own) {
        (StreamOrigin::Only(_), StreamOrigin::Only(_)) => {}
        (StreamOrigin::Only(_), own) => return (own, "own"),
        (known, _) => return (known, "peers"),
    }
    let Some(records) = version_records::read(node).await else {
        return (StreamOrigin::Ambiguous, "unread_record");
    };
    let tables = lock(&node.tables);
    let seen = tables.registry.recent_versions(service);
    match OnlyVersion::new(records.get(service), &seen) {
        OnlyVersion::Only(version) => (StreamOrigin::Only(version), "record"),
        OnlyVersion::Several => (StreamOrigin::Ambiguous, "record"),
        OnlyVersion::Unknown => (StreamOrigin::Ambiguous, "missing_record"),
    }
}

/// Asks the peers that should know where a stream began.
async fn ask_peers(node: &Node, stream: StreamKey, service: &ServiceId) -> StreamOrigin {
    let keepers = lock(&node.tables).fleet.stream_keepers(stream, ASKED_PEERS, node.now());
    let mut answers: FuturesUnordered<_> =
        keepers.iter().map(|keeper| ask(keeper.control, stream, service)).collect();
    let mut origin = StreamOrigin::Only(None);
    while let Some(answer) = answers.next().await {
        match answer {
            Ok(StreamOrigin::Version(version)) => return StreamOrigin::Version(version),
            Ok(StreamOrigin::Ambiguous) => origin = StreamOrigin::Ambiguous,
            Ok(StreamOrigin::Only(_)) => {}
            Err(error) => {
                tracing::info!(event = "stream_question_failed", error = format!("{error:#}"));
            }
        }
    }
    origin
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
