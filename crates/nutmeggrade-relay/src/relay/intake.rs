//! Reads a client's request and finds its route.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::{Access, Route, RouteMap, WorkspaceKey};
use nutmeggrade_wire::request::{self, Asked};

use super::call::Call;
use super::crash;
use super::framing;
use super::refusal::Refused;
use crate::node::Node;
use crate::tables::lock;

/// How long a client waits that does not say.
const PATIENCE: Duration = Duration::from_mins(1);

/// Time after which a client may come back that needs only another instance.
const OTHER_ENTRY: Duration = Duration::from_millis(20);

/// Time after which a client may come back whose request is held back.
const HELD_RETURN: Duration = Duration::from_secs(10);

/// Reads a request and finds its route, its workspace and its service.
pub async fn read(
    node: &Arc<Node>,
    request: Request<Incoming>,
    record: &[u8],
) -> Result<Call, Refused> {
    let arrived = node.now();
    let (head, body) = request.into_parts();
    let early = |failure| Refused { id: None, failure };
    framing::check(&head.headers, head.version, record).map_err(early)?;
    let asked = request::read(&head).map_err(early)?;
    let id = asked.id.clone();
    let refuse = |failure| Refused { id: Some(id.clone()), failure };
    let map = node.map();
    let (route, holder) = admit(node, &map, &head, &asked).map_err(refuse)?;
    let Some(service) = route.pick(rand::random::<f64>()) else {
        return Err(refuse(Failure::new(Code::NoEndpoint, "the route has no service")));
    };
    let patience = asked.patience.unwrap_or(PATIENCE).min(route.timeout);
    let deadline = arrived.after(patience);
    if let Some(stays) = node.time_until_end() {
        check_end(node, &route, &asked, stays).map_err(refuse)?;
    }
    let body = whole(node, body, &map, deadline).await.map_err(refuse)?;
    let fingerprint = crash::fingerprint(holder.as_ref(), &head.uri, asked.prompt.as_ref(), &body);
    if lock(&node.tables).crashes.holds(&fingerprint, arrived) {
        let why = "endpoints died under this request again and again";
        return Err(refuse(Failure::new(Code::CrashHeld, why).with_retry_after(HELD_RETURN)));
    }
    let priority = holder.as_ref().and_then(|h| h.priority).unwrap_or(route.priority);
    Ok(Call {
        id: asked.id,
        method: head.method,
        target: head.uri,
        headers: head.headers,
        body,
        service: service.clone(),
        workspace: holder.map(|h| h.workspace),
        priority,
        prompt: asked.prompt,
        fingerprint,
        position: asked.position,
        arrived,
        deadline,
        route,
    })
}

/// Finds the route of a request, and whom its key belongs to.
fn admit(
    node: &Node,
    map: &RouteMap,
    head: &Parts,
    asked: &Asked,
) -> Result<(Arc<Route>, Option<WorkspaceKey>), Failure> {
    if map.version == 0 {
        return Err(come_back(node, Code::NotReady, "no configuration yet"));
    }
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let Some(route) = map.route(host, head.uri.path()) else {
        return Err(absent(node, Code::NoRoute, "no route has this host and path"));
    };
    match map.access(route, asked.key.as_deref()) {
        Access::Open => Ok((Arc::clone(route), None)),
        Access::Workspace(holder) => Ok((Arc::clone(route), Some(holder))),
        Access::Unknown => Err(absent(node, Code::UnknownKey, "no workspace has this key")),
    }
}

/// Refuses what the configuration does not hold, unless a newer one may hold it.
///
/// An instance that can't read the store may be behind. To say that there is no such route or key
/// would be wrong where it was added since, and a client does not come back after that.
fn absent(node: &Node, code: Code, why: &str) -> Failure {
    if node.read_state.is_config_unavailable() {
        return come_back(node, Code::Outdated, why);
    }
    Failure::new(code, why)
}

/// Refuses a request that could not end before this instance does.
///
/// Its answer would be cut in the middle, and a client may not repeat what has run.
fn check_end(node: &Node, route: &Route, asked: &Asked, stays: Duration) -> Result<(), Failure> {
    let takes = match &asked.prompt {
        Some(prompt) => lock(&node.tables).pace.time(prompt.expected()),
        None => route.target,
    };
    if takes < stays {
        return Ok(());
    }
    let why = format!("this instance ends in {} ms; use another", stays.as_millis());
    Err(Failure::new(Code::Leaving, &why).with_retry_after(OTHER_ENTRY))
}

fn come_back(node: &Node, code: Code, why: &str) -> Failure {
    let wait = lock(&node.tables).dispatcher.return_time();
    Failure::new(code, why).with_retry_after(wait)
}

/// Reads the whole body within the limits in force.
async fn whole(
    node: &Node,
    body: Incoming,
    map: &RouteMap,
    deadline: Moment,
) -> Result<Bytes, Failure> {
    let most = map.limits.body_bytes;
    let too_large = || Failure::new(Code::BodyTooLarge, "the body is larger than the limit");
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > most as u64 {
        return Err(too_large());
    }
    let read = Limited::new(body, most).collect();
    tokio::select! {
        read = read => match read {
            Ok(whole) => Ok(whole.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(too_large()),
            Err(error) => Err(Failure::new(Code::BadFraming, &format!("body: {error}"))),
        },
        () = node.clock.until(deadline) => {
            Err(Failure::new(Code::BodyTimeout, "the body did not come in time"))
        }
    }
}
