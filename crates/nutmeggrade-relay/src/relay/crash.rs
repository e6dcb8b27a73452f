//! Detects whether an endpoint crashed while it ran a request.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use nutmeggrade_core::peer::{ContentId, EndpointCrash, Fingerprint, FleetMessage};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EndpointInfo, Prompt};
use tokio::time::timeout;

use super::client_request::ClientRequest;
use crate::connect::connect;
use crate::node::{CrashSource, Node};
use crate::probes;
use crate::reach::{self, Reach};
use crate::tables::lock;

/// Timeout of a connection that shows whether an endpoint is there; it takes milliseconds.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether an endpoint refuses connections, while others of its service accept them.
pub async fn refuses_connections(node: &Arc<Node>, endpoint: &EndpointInfo) -> bool {
    let Ok(Err(error)) = timeout(PRESENCE_TIMEOUT, connect(endpoint.address)).await else {
        return false;
    };
    error.kind() == io::ErrorKind::ConnectionRefused
        && reach::check(node, endpoint).await == Reach::Reached
}

/// Returns a hash of a request's workspace, path, prompt and body.
pub fn fingerprint(
    workspace: Option<&WorkspaceId>,
    uri: &Uri,
    prompt: Option<&Prompt>,
    body: &Bytes,
) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    add(workspace.map_or("", |w| w.as_str()).as_bytes());
    add(uri.path_and_query().map_or("", |p| p.as_str()).as_bytes());
    for part in prompt.iter().flat_map(|p| &p.parts) {
        add(&part.id.to_le_bytes());
    }
    add(body);
    let hash = hasher.finalize();
    std::array::from_fn(|i| hash.as_bytes()[i])
}

/// Checks in the background whether the endpoint that lost a request crashed, and reports a crash
/// to all instances.
///
/// A broken connection alone proves little: links fail, and leaving endpoints end their requests.
/// An endpoint that is registered as staying and accepts no connection has crashed. One that
/// accepts a connection is probed.
pub fn check_endpoint(node: &Arc<Node>, request: &ClientRequest, endpoint: &EndpointInfo) {
    let is_staying = lock(&node.tables).registry.get(&endpoint.id).is_some_and(|e| !e.info.leaving);
    if !is_staying {
        log_uncounted(node, request, endpoint, "leaving");
        return;
    }
    let node = Arc::clone(node);
    let request = request.clone();
    let endpoint = endpoint.clone();
    let crashed = EndpointCrash {
        request: request.fingerprint,
        endpoint: endpoint.id.clone(),
        born: endpoint.born,
    };
    tokio::spawn(async move {
        let Err(error) = connect(endpoint.address).await else {
            log_uncounted(&node, &request, &endpoint, "accepts_connections");
            probes::start(&node, &endpoint);
            return;
        };
        if reach::check(&node, &endpoint).await == Reach::CutOff {
            log_uncounted(&node, &request, &endpoint, "cut_off");
            return;
        }
        if error.kind() == io::ErrorKind::ConnectionRefused {
            node.announce_unreachable(&crashed.endpoint);
        }
        tracing::info!(event = "endpoint_crashed", request = %request.id,
            endpoint = %crashed.endpoint);
        node.note_crash(&crashed, CrashSource::Own);
        node.broadcast(FleetMessage::Crashed(crashed));
    });
}

/// Logs a lost request that is no evidence of a crash, and why.
pub fn log_uncounted(
    node: &Node,
    request: &ClientRequest,
    endpoint: &EndpointInfo,
    why: &'static str,
) {
    node.metrics.uncounted_losses.with_label_values(&[why]).inc();
    tracing::info!(event = "loss_uncounted", request = %request.id, endpoint = %endpoint.id,
        content = %ContentId(&request.fingerprint), why);
}
