//! Reads, authorizes and routes a client's request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request, header};
use hyper::body::Incoming;
use nutmeggrade_core::peer::{ContentId, FORWARDED_HEADER, ForwardedRequest};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{Access, Route, RouteMap};
use nutmeggrade_policy::dispatch::startup_wait;
use nutmeggrade_wire::request::{self, ClientHeaders};
use tokio::time::sleep;

use super::client_request::ClientRequest;
use super::crash;
use super::framing;
use super::refusal::RefusedRequest;
use super::shutdown;
use crate::intake::{self, BodyError, ConnectionMemory};
use crate::node::Node;
use crate::tables::lock;

/// Timeout of a request whose client states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);

/// Interval between two checks whether the start of this instance has ended.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a request is routed.
struct Routing {
    route: Arc<Route>,
    config: u64,
    service: ServiceId,
    workspace: Option<WorkspaceId>,
    priority: u8,
    is_forwarded: bool,
}

/// Reads a request and determines its route, workspace and service. `head_bytes` holds the bytes of
/// its head as received.
pub async fn admit(
    node: &Arc<Node>,
    request: Request<Incoming>,
    head_bytes: Bytes,
    memory: &ConnectionMemory,
) -> Result<ClientRequest, RefusedRequest> {
    let arrived_at = node.now();
    let (head, body) = request.into_parts();
    let refuse_without_id = |failure| RefusedRequest { id: None, failure };
    framing::check(&head.headers, head.version, &head_bytes).map_err(refuse_without_id)?;
    drop(head_bytes);
    let parsed = request::read(&head).map_err(refuse_without_id)?;
    let id = parsed.id.clone();
    let refuse = |failure| RefusedRequest { id: Some(id.clone()), failure };
    await_start(node, arrived_at, parsed.timeout.unwrap_or(DEFAULT_TIMEOUT)).await;
    let routing = authorize(node, &node.map(), &head, &parsed).map_err(refuse)?;
    read(node, (head, body), memory, parsed, routing, arrived_at).await.map_err(refuse)
}

/// Reads a request that a peer has authorized and routed.
pub async fn admit_forwarded(
    node: &Arc<Node>,
    request: Request<Incoming>,
    memory: &ConnectionMemory,
) -> Result<ClientRequest, RefusedRequest> {
    let arrived_at = node.now();
    let (mut head, body) = request.into_parts();
    let refuse_without_id = |failure| RefusedRequest { id: None, failure };
    let parsed = request::read(&head).map_err(refuse_without_id)?;
    let id = parsed.id.clone();
    let refuse = |failure| RefusedRequest { id: Some(id.clone()), failure };
    if !node.is_loaded() {
        return Err(refuse(retry_later(node, Code::NotReady, "no endpoints yet")));
    }
    let timeout = parsed.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let routing = read_forwarded(&mut head.headers, timeout).map_err(refuse)?;
    read(node, (head, body), memory, parsed, routing, arrived_at).await.map_err(refuse)
}

/// Takes the routing that a peer has added to a request's headers.
fn read_forwarded(headers: &mut HeaderMap, timeout: Duration) -> Result<Routing, Failure> {
    let value = headers.remove(FORWARDED_HEADER);
    let forwarded: ForwardedRequest = value
        .and_then(|value| serde_json::from_slice(value.as_bytes()).ok())
        .ok_or_else(|| Failure::new(Code::BadHeader, "the routing is missing or malformed"))?;
    let ForwardedRequest { route, kind, target, attempts, service, workspace, priority } =
        forwarded;
    let route = Route {
        name: route,
        host: String::new(),
        prefix: String::new(),
        kind,
        timeout,
        target,
        priority,
        splits: Vec::new(),
        attempts,
        public: workspace.is_none(),
        sticky: false,
        gap: Duration::ZERO,
    };
    Ok(Routing {
        route: Arc::new(route),
        config: 0,
        service,
        workspace,
        priority,
        is_forwarded: true,
    })
}

/// Reads the body of a routed request, unless the request must be refused.
async fn read(
    node: &Arc<Node>,
    (head, body): (Parts, Incoming),
    memory: &ConnectionMemory,
    parsed: ClientHeaders,
    routing: Routing,
    arrived_at: Moment,
) -> Result<ClientRequest, Failure> {
    let Routing { route, config, service, workspace, priority, is_forwarded } = routing;
    let timeout = parsed.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = arrived_at.after(timeout);
    if !is_forwarded {
        shutdown::check(node, &route, parsed.prompt.as_ref(), deadline)?;
    }
    // A peer that is told of connections asks another one.
    let full = if is_forwarded { Code::TooManyConnections } else { Code::MemoryFull };
    let time_left = deadline.since(node.now());
    let body = intake::read_body(body, node.map().limits.body_bytes, time_left, memory);
    let body = body.await.map_err(|error| match error {
        BodyError::MemoryFull => retry_later(node, full, &error.to_string()),
        _ => Failure::new(error.code(), &error.to_string()),
    })?;
    // A peer has to get the refusal, which is lost if the connection is reset under its body.
    if is_forwarded {
        shutdown::check(node, &route, parsed.prompt.as_ref(), deadline)?;
    }
    let prompt = parsed.prompt.as_ref();
    let fingerprint = crash::fingerprint(workspace.as_ref(), &head.uri, prompt, &body);
    let suspects = crash::suspects(fingerprint, &service, prompt);
    let culprit = lock(&node.tables).crashes.holds(&suspects, arrived_at);
    if let Some(culprit) = culprit {
        tracing::info!(event = "request_held", request = %parsed.id,
            content = %ContentId(&fingerprint), culprit = culprit.kind(), key = %culprit);
        return Err(crash::held(&culprit));
    }
    Ok(ClientRequest {
        id: parsed.id,
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        memory: memory.clone(),
        config,
        service,
        workspace,
        priority,
        prompt: parsed.prompt,
        suspects: Arc::new(suspects),
        position: parsed.position,
        resumes: parsed.resumes,
        arrived_at,
        deadline,
        route,
        is_forwarded,
    })
}

/// Waits until this instance can serve if it has just started, as long as that is best for a client
/// with this timeout.
async fn await_start(node: &Node, arrived_at: Moment, timeout: Duration) {
    while !node.is_loaded() {
        let wait = startup_wait(timeout, node.startup_view());
        if node.now() >= arrived_at.after(wait) {
            return;
        }
        sleep(START_CHECK_INTERVAL).await;
    }
}

/// Finds the route of a request and the workspace of its key, and selects a service. A public route
/// needs no key.
fn authorize(
    node: &Node,
    map: &RouteMap,
    head: &Parts,
    parsed: &ClientHeaders,
) -> Result<Routing, Failure> {
    if map.version == 0 {
        return Err(retry_later(node, Code::NotReady, "no configuration yet"));
    }
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let Some(route) = map.route(host, head.uri.path()) else {
        return Err(not_configured(node, Code::NoRoute, "no route has this host and path"));
    };
    let key = match map.access(route, parsed.key.as_deref()) {
        Access::Open => None,
        Access::Workspace(key) => Some(key),
        Access::Unknown => {
            return Err(not_configured(node, Code::UnknownKey, "no workspace has this key"));
        }
    };
    let Some(service) = route.pick(rand::random::<f64>()) else {
        return Err(Failure::new(Code::NoEndpoint, "the route has no service"));
    };
    Ok(Routing {
        route: Arc::clone(route),
        config: map.version,
        service: service.clone(),
        priority: key.as_ref().and_then(|k| k.priority).unwrap_or(route.priority),
        workspace: key.map(|k| k.workspace),
        is_forwarded: false,
    })
}

/// Returns the failure for a route or key that the configuration lacks.
///
/// While the store is unreachable the configuration may be out of date, and the route or key may
/// have been added since. The failure then asks the client to retry, since clients don't retry
/// after a final one.
fn not_configured(node: &Node, code: Code, detail: &str) -> Failure {
    if node.read_state.is_config_unavailable() {
        return retry_later(node, Code::Outdated, detail);
    }
    Failure::new(code, detail)
}

fn retry_later(node: &Node, code: Code, detail: &str) -> Failure {
    let delay = lock(&node.tables).dispatcher.draw_retry_delay();
    Failure::new(code, detail).with_retry_after(delay)
}
