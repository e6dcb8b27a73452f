//! Detects whether an endpoint crashed while it ran a request.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Uri;
use nutmeggrade_core::peer::{
    ContentId, CrashSuspect, EndpointCrash, Fingerprint, PartKey, RequestSuspects,
};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{EndpointInfo, PartIds, Prompt, PromptPart};
use rand::RngExt;
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

/// Shortest `Retry-After` of a request that is held because of what crashed endpoints.
const HOLD_DELAY: Duration = Duration::from_secs(10);
/// Longest such time, as a multiple of the shortest: clients of many requests with one part would
/// otherwise return together.
const HOLD_SPREAD: f64 = 2.0;

/// A request that an endpoint lost.
#[derive(Debug, Clone, Copy)]
pub struct Loss<'a> {
    /// The endpoint.
    pub endpoint: &'a EndpointInfo,
    /// Whether the endpoint's service can be reached from here.
    pub reach: Reach,
    /// Time from the beginning of the answer to the loss; zero if there was no answer yet.
    pub alive: Duration,
}

impl<'a> Loss<'a> {
    /// Creates the loss of a request whose answer had not begun.
    pub const fn before_answer(endpoint: &'a EndpointInfo, reach: Reach) -> Self {
        Self { endpoint, reach, alive: Duration::ZERO }
    }
}

/// Returns the refusal of a request that is held because of what crashed endpoints.
pub fn held(culprit: &CrashSuspect) -> Failure {
    let detail = match culprit {
        CrashSuspect::Request(_) => "endpoints died under this request again and again",
        CrashSuspect::Part(_) => "endpoints died under a part of this prompt again and again",
    };
    let delay = HOLD_DELAY.mul_f64(rand::rng().random_range(1.0..HOLD_SPREAD));
    Failure::new(Code::CrashHeld, detail).with_retry_after(delay)
}

/// Returns all that a request has that may crash endpoints.
pub fn suspects(
    request: Fingerprint,
    service: &ServiceId,
    prompt: Option<&Prompt>,
) -> RequestSuspects {
    let key = |prompt: &Prompt, part: &PromptPart| PartKey::new(service, &prompt.model, part.id);
    let parts = prompt.map_or_else(Vec::new, |prompt| {
        prompt.shared_parts().iter().map(|part| key(prompt, part)).collect()
    });
    RequestSuspects::new(request, parts)
}

/// Returns whether an endpoint refuses connections, while others of its service accept them.
pub async fn refuses_connections(node: &Arc<Node>, endpoint: &EndpointInfo) -> bool {
    let Ok(Err(error)) = timeout(PRESENCE_TIMEOUT, connect(endpoint.address)).await else {
        return false;
    };
    error.kind() == io::ErrorKind::ConnectionRefused
        && reach::check(node, endpoint).await == Reach::Reached
}

/// Returns whether a body that ended with its connection may have been cut off by a crash of its endpoint.
/// It may not if its end was declared.
pub async fn may_have_cut(node: &Arc<Node>, endpoint: &EndpointInfo, framing: BodyFraming) -> bool {
    !framing.is_declared() && refuses_connections(node, endpoint).await
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
pub async fn examine(node: &Arc<Node>, request: &ClientRequest, loss: Loss<'_>) {
    let examination = {
        let (node, request, endpoint) = (Arc::clone(node), request.clone(), loss.endpoint.clone());
        let Loss { reach, alive, .. } = loss;
        tokio::spawn(async move {
            examine_loss(&node, &request, Loss { endpoint: &endpoint, reach, alive }).await;
        })
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
async fn examine_loss(node: &Arc<Node>, request: &ClientRequest, loss: Loss<'_>) {
    let Loss { endpoint, reach, alive } = loss;
    let is_staying = lock(&node.tables).registry.get(&endpoint.id).is_some_and(|e| !e.info.leaving);
    if !is_staying {
        log_uncounted(node, request, endpoint, "leaving");
        return;
    }
    let crash = EndpointCrash {
        request: request.suspects.request,
        endpoint: endpoint.id.clone(),
        born: endpoint.born,
        parts: request.suspects.parts.clone(),
        alive,
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
        content = %ContentId(&request.suspects.request), parts = %PartIds(request.shared_parts()),
        alive_ms = alive.as_millis());
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
        content = %ContentId(&request.suspects.request), parts = %PartIds(request.shared_parts()), why);
}
