//! Whether an endpoint died under a request.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http::Uri;
use nutmeggrade_core::peer::{EndpointCrash, Fingerprint, FleetMessage};
use nutmeggrade_core::routing::{EndpointInfo, Prompt, WorkspaceKey};

use super::call::Call;
use crate::dial::dial;
use crate::node::Node;
use crate::probes;
use crate::tables::lock;

/// Returns what requests of the same workspace with the same path, prompt and body have in common.
pub fn fingerprint(
    holder: Option<&WorkspaceKey>,
    target: &Uri,
    prompt: Option<&Prompt>,
    body: &Bytes,
) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    let mut add = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(bytes);
    };
    add(holder.map_or("", |h| h.workspace.as_str()).as_bytes());
    add(target.path_and_query().map_or("", |p| p.as_str()).as_bytes());
    for part in prompt.iter().flat_map(|p| &p.parts) {
        add(&part.id.to_le_bytes());
    }
    add(body);
    let hash = hasher.finalize();
    std::array::from_fn(|i| hash.as_bytes()[i])
}

/// Looks whether the endpoint that lost a request died, and tells everybody if it did.
///
/// A connection that breaks says little: links fail, and endpoints that leave end what they run. An
/// endpoint that stays in the registry and accepts no connection has crashed. One that accepts is checked.
pub fn look(node: &Arc<Node>, call: &Call, endpoint: &EndpointInfo) {
    let stays = lock(&node.tables).registry.get(&endpoint.id).is_some_and(|e| !e.info.leaving);
    if !stays {
        return;
    }
    let node = Arc::clone(node);
    let id = call.id.clone();
    let endpoint = endpoint.clone();
    let crashed = EndpointCrash {
        request: call.fingerprint,
        endpoint: endpoint.id.clone(),
        born: endpoint.born,
    };
    tokio::spawn(async move {
        let Err(error) = dial(endpoint.address).await else {
            probes::start(&node, &endpoint);
            return;
        };
        if error.kind() == io::ErrorKind::ConnectionRefused {
            node.announce_gone(&crashed.endpoint);
        }
        tracing::info!(event = "endpoint_crashed", request = %id, endpoint = %crashed.endpoint);
        lock(&node.tables).crashes.note(&crashed, node.now());
        node.tell(FleetMessage::Crashed(crashed));
    });
}
