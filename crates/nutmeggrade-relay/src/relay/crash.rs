//! Detects whether an endpoint crashed while it ran a request.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use nutmeggrade_core::peer::{ContentId, EndpointCrash, Fingerprint};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EndpointInfo, PartIds, Prompt};
use tokio::time::timeout;

use super::client_request::ClientRequest;
use crate::connect::connect;
use crate::node::Node;
use crate::probes;
use crate::reach::{self, Reach};
use crate::tables::lock;

/// Timeout of a connection that shows whether an endpoint is there; it takes milliseconds.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time for which a retry waits for the examination of a loss.
const MAX_EXAMINATION_WAIT: Duration = Duration::from_millis(50);

/// `Retry-After` of a request that is held because it is suspected of crashing endpoints.
const HOLD_DELAY: Duration = Duration::from_secs(10);

/// Returns the refusal of a request that is held because it crashed endpoints.
pub fn held() -> Failure {
    let detail = "endpoints died under this request again and again";
    Failure::new(Code::CrashHeld, detail).with_retry_after(HOLD_DELAY)
}

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

/// Determines whether the endpoint that lost a request crashed, and reports a crash to all
/// instances.
///
/// Waits for the result only briefly: an endpoint that crashed refuses connections at once, and one
/// whose machine is gone may not answer at all.
pub async fn examine(
    node: &Arc<Node>,
    request: &ClientRequest,
    endpoint: &EndpointInfo,
    reach: Reach,
) {
    let examination = {
        let (node, request, endpoint) = (Arc::clone(node), request.clone(), endpoint.clone());
        tokio::spawn(async move { examine_loss(&node, &request, &endpoint, reach).await })
    };
    // It goes on in the background after the timeout.
    drop(timeout(MAX_EXAMINATION_WAIT, examination).await);
}

/// Records a crash, or a loss that turns out to be one if the endpoint's incarnation ends.
///
/// A broken connection alone proves little: links fail, and leaving endpoints end their requests.
/// An endpoint that is registered as staying and accepts no connection has crashed, unless this
/// instance reaches no other endpoint either. One that accepts a connection is probed; it may be
/// the next process at the address.
async fn examine_loss(
    node: &Arc<Node>,
    request: &ClientRequest,
    endpoint: &EndpointInfo,
    reach: Reach,
) {
    let is_staying = lock(&node.tables).registry.get(&endpoint.id).is_some_and(|e| !e.info.leaving);
    if !is_staying {
        log_uncounted(node, request, endpoint, "leaving");
        return;
    }
    let crash = EndpointCrash {
        request: request.fingerprint,
        endpoint: endpoint.id.clone(),
        born: endpoint.born,
    };
    if reach == Reach::CutOff {
        note_loss(node, request, endpoint, &crash, "cut_off");
        return;
    }
    let Err(error) = connect(endpoint.address).await else {
        note_loss(node, request, endpoint, &crash, "accepts_connections");
        probes::start(node, endpoint);
        return;
    };
    if reach::check(node, endpoint).await == Reach::CutOff {
        note_loss(node, request, endpoint, &crash, "cut_off");
        return;
    }
    if error.kind() == io::ErrorKind::ConnectionRefused {
        node.announce_unreachable(&crash.endpoint);
    }
    tracing::info!(event = "endpoint_crashed", request = %request.id, endpoint = %crash.endpoint,
        content = %ContentId(&request.fingerprint), parts = %PartIds(request.shared_parts()));
    node.announce_crash(crash);
}

fn note_loss(
    node: &Node,
    request: &ClientRequest,
    endpoint: &EndpointInfo,
    loss: &EndpointCrash,
    why: &'static str,
) {
    lock(&node.tables).crashes.note_loss(loss, node.now());
    log_uncounted(node, request, endpoint, why);
    // The endpoint's successor may have been registered in the meantime.
    node.settle_losses();
}

fn log_uncounted(node: &Node, request: &ClientRequest, endpoint: &EndpointInfo, why: &'static str) {
    node.metrics.uncounted_losses.with_label_values(&[why]).inc();
    tracing::info!(event = "loss_uncounted", request = %request.id, endpoint = %endpoint.id,
        content = %ContentId(&request.fingerprint), parts = %PartIds(request.shared_parts()), why);
}
