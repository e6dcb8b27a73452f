//! Serves readiness, the directory of instances, peers' requests and metrics.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmeggrade_core::prelude::ServiceId;
use nutmeggrade_core::rollout::{ROLLOUTS_PATH, RolloutStatus};
use nutmeggrade_platform::WatchedStream;
use nutmeggrade_policy::fleet::client_part;
use nutmeggrade_state::rollout::RolloutView;
use nutmeggrade_state::transfers::Transfer;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::{directory, names};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use viz::{Body, Request, RequestExt, Responder, Response, Result as VizResult, Router, Tree};

use crate::fleet_sync::{CONFIG_PATH, ENDPOINTS_PATH, OBJECTS_PATH};
use crate::intake::{AdmittedConnection, ConnectionLimit, MeteredStream, TrackedBody, bind};
use crate::node::Node;
use crate::settings::Settings;
use crate::stream_origin::{self, STREAM_PATH, StreamOrigin};
use crate::tables::lock;
use crate::watch::{config_for_peer, objects_for_peer};

/// Timeout of a request's head, also on an idle connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which clients may cache the directory's response: short enough that clients who
/// refresh it leave a stopping instance well within its grace period.
const MAX_ENTRY_AGE: Duration = Duration::from_secs(2);
/// Delay after a failed accept, as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time in which a client reads no byte of its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest head of a request.
const MAX_BUFFER_BYTES: usize = 16 << 10;
/// Share of the file descriptors, as a divisor, that connections to the directory may use, and as many
/// those to the control address.
const DESCRIPTOR_SHARE_DIVISOR: usize = 32;
/// Fewest and most connections of one of these listeners. Each takes milliseconds.
const CONNECTION_RANGE: RangeInclusive<usize> = 16..=128;
const METRICS_PATH: &str = "/metrics";
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// A request's query string and sender.
struct Query<'a> {
    text: &'a str,
    client: Option<IpAddr>,
}

/// Listeners of all HTTP services other than clients' requests.
#[derive(Debug)]
pub struct Admin {
    ready: TcpListener,
    directory: TcpListener,
    control: TcpListener,
    metrics: TcpListener,
}

impl Admin {
    /// Opens the listeners.
    pub fn bind(settings: &Settings) -> anyhow::Result<Self> {
        Ok(Self {
            ready: bind(settings.ready_address)?,
            directory: bind(settings.directory_address)?,
            control: bind(settings.control_address)?,
            metrics: bind(settings.metrics_address)?,
        })
    }

    /// Returns the address of the readiness check.
    pub fn ready(&self) -> anyhow::Result<SocketAddr> {
        self.ready.local_addr().context("readiness address")
    }

    /// Returns the address of the directory.
    pub fn directory(&self) -> anyhow::Result<SocketAddr> {
        self.directory.local_addr().context("directory address")
    }

    /// Returns the address for peers' requests.
    pub fn control(&self) -> anyhow::Result<SocketAddr> {
        self.control.local_addr().context("control address")
    }

    /// Returns the address of the metrics.
    pub fn metrics(&self) -> anyhow::Result<SocketAddr> {
        self.metrics.local_addr().context("metrics address")
    }

    /// Starts to serve on all listeners.
    pub fn start(self, node: &Arc<Node>) -> Vec<JoinHandle<()>> {
        let most = connection_limit(node.settings().descriptors);
        vec![
            start(node, self.ready, route(node, names::READY_PATH, readiness), most / 2),
            start(node, self.directory, route(node, names::DIRECTORY_PATH, list_entries), most),
            start(node, self.control, control(node), most),
            start(node, self.metrics, route(node, METRICS_PATH, metrics), most / 2),
        ]
    }
}

/// Returns the connections that all these listeners may have open together.
pub fn connections(descriptors: usize) -> usize {
    connection_limit(descriptors) * 3
}

/// Returns the connections that the directory may have open.
fn connection_limit(descriptors: usize) -> usize {
    let share = descriptors / DESCRIPTOR_SHARE_DIVISOR;
    share.clamp(*CONNECTION_RANGE.start(), *CONNECTION_RANGE.end())
}

fn start(node: &Arc<Node>, listener: TcpListener, router: Router, most: usize) -> JoinHandle<()> {
    tokio::spawn(serve(Arc::clone(node), listener, router, most))
}

fn control(node: &Arc<Node>) -> Router {
    let router = add_route(route(node, OBJECTS_PATH, objects), node, ENDPOINTS_PATH, endpoints);
    let router = add_route(router, node, CONFIG_PATH, config);
    let router = add_route(router, node, STREAM_PATH, stream);
    add_route(router, node, ROLLOUTS_PATH, rollouts)
}

fn route(node: &Arc<Node>, path: &str, handler: fn(&Node, &Query) -> Response) -> Router {
    add_route(Router::new(), node, path, handler)
}

fn add_route(
    router: Router,
    node: &Arc<Node>,
    path: &str,
    handler: fn(&Node, &Query) -> Response,
) -> Router {
    let node = Arc::clone(node);
    router.get(path, move |request: Request| {
        let node = Arc::clone(&node);
        async move {
            let query = Query {
                text: request.uri().query().unwrap_or_default(),
                client: request.remote_addr().map(SocketAddr::ip),
            };
            VizResult::Ok(handler(&node, &query))
        }
    })
}

fn readiness(node: &Node, _: &Query) -> Response {
    let status = if node.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    respond(status, Vec::new())
}

fn list_entries(node: &Node, query: &Query) -> Response {
    let client_domain = directory::read_domain(query.text);
    let is_leaving = !node.is_ready();
    let all = lock(&node.tables).fleet.entries(client_domain.as_ref(), is_leaving, node.now());
    let mut addresses = client_part(all, query.client, directory::MAX_LISTED_ADDRESSES);
    if addresses.is_empty() {
        // No instance is known to serve; this one's own address helps a client more than an empty
        // list.
        addresses.push(node.own_addresses.client);
    }
    let ttl = MAX_ENTRY_AGE.min(node.settings().entry_ttl);
    respond(StatusCode::OK, directory::write(&addresses, ttl))
}

fn objects(node: &Node, query: &Query) -> Response {
    let name = query.text.strip_prefix("kind=").unwrap_or_default();
    let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.name() == name) else {
        return respond(StatusCode::NOT_FOUND, Vec::new());
    };
    let Some(snapshot) = objects_for_peer(node, kind) else {
        return respond(StatusCode::NOT_FOUND, Vec::new());
    };
    let encoded = serde_json::to_vec(&snapshot).context("encode objects");
    transfer_encoded(node, encoded, "knowledge_unsendable")
}

/// Responds with the configuration, as a change of the text that the peer names if that is known.
fn config(node: &Node, query: &Query) -> Response {
    let base = query.text.strip_prefix("base=").and_then(|text| text.parse().ok());
    let encoded = config_for_peer(node, base).and_then(|reply| Ok(reply.encode()?));
    transfer_encoded(node, encoded, "config_unsendable")
}

/// Responds with what this instance knows of where a stream began.
fn stream(node: &Node, query: &Query) -> Response {
    let parts = query.text.strip_prefix("key=").and_then(|text| text.split_once("&service="));
    let Some((key, service)) = parts else { return respond(StatusCode::BAD_REQUEST, Vec::new()) };
    let (Ok(key), Ok(service)) = (key.parse(), ServiceId::new(service)) else {
        return respond(StatusCode::BAD_REQUEST, Vec::new());
    };
    match stream_origin::local(node, Some(key), &service) {
        StreamOrigin::Version(version) => {
            respond(StatusCode::OK, version.as_str().as_bytes().to_vec())
        }
        StreamOrigin::Only(_) => respond(StatusCode::NOT_FOUND, Vec::new()),
        StreamOrigin::Ambiguous => respond(StatusCode::CONFLICT, Vec::new()),
    }
}

/// Responds with the endpoints that changed since a revision, or with all.
fn endpoints(node: &Node, query: &Query) -> Response {
    let since = query.text.strip_prefix("since=").and_then(|text| text.parse().ok()).unwrap_or(0);
    transfer(node, node.encode_endpoints(since))
}

/// Responds to a peer with encoded objects; if they can't be encoded, `event` is logged.
fn transfer_encoded(node: &Node, encoded: anyhow::Result<Vec<u8>>, event: &str) -> Response {
    match encoded {
        Ok(encoded) => transfer(node, encoded.into()),
        Err(error) => {
            tracing::error!(event, error = format!("{error:#}"));
            respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// Responds to a peer unless the link is occupied. The transfer counts against the link until the
/// connection ends.
fn transfer(node: &Node, encoded: Bytes) -> Response {
    let Some(transfer) = node.transfers.begin(encoded.len()) else {
        return respond(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
    };
    let mut response = Response::new(Body::Full(Full::new(encoded)));
    response.extensions_mut().insert(Arc::new(transfer));
    response
}

fn rollouts(node: &Node, _: &Query) -> Response {
    let views = lock(&node.tables).rollouts.views(node.now());
    let all: Vec<RolloutStatus> = views.iter().map(rollout_status).collect();
    respond_json(&all, "rollouts_unsendable")
}

fn rollout_status(view: &RolloutView) -> RolloutStatus {
    let all = view.tally.all_routes();
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    RolloutStatus {
        service: view.service.clone(),
        version: view.id.version.clone(),
        phase: view.phase.as_str().to_owned(),
        share: view.share,
        age_ms: millis(view.age),
        duration_ms: millis(view.duration),
        verdict: view.verdict.to_owned(),
        requests: view.tally.requests,
        exposed: view.tally.exposed,
        new: [all.new.count(), all.new.failures],
        old: [all.old.count(), all.old.failures],
    }
}

fn metrics(node: &Node, _: &Query) -> Response {
    let dropped = i64::try_from(node.logs.dropped()).unwrap_or(i64::MAX);
    node.metrics.dropped_lines.set(dropped);
    let (_, serving_peers) = lock(&node.tables).fleet.serving_counts(node.now());
    node.metrics.serving_peers.set(i64::try_from(serving_peers).unwrap_or(i64::MAX));
    match node.metrics.text() {
        Ok(text) => {
            let mut response = Response::new(Body::Full(Full::new(text.into())));
            let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(error) => {
            tracing::error!(event = "metrics_unsendable", error = format!("{error:#}"));
            respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// Returns a value as JSON; if it can't be encoded, `event` is logged.
fn respond_json<T: Serialize>(value: &T, event: &str) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => respond(StatusCode::OK, body),
        Err(error) => {
            tracing::error!(event, %error);
            respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

fn respond(status: StatusCode, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::Full(Full::new(body.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, JSON);
    response
}

async fn serve(node: Arc<Node>, listener: TcpListener, router: Router, most: usize) {
    let tree = Arc::new(Tree::from(router));
    let limit = ConnectionLimit::new(&node.memory, most);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(admitted) = limit.admit().await else { continue };
                tokio::spawn(serve_connection(stream, admitted, Arc::clone(&tree)));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, admitted: AdmittedConnection, tree: Arc<Tree>) {
    let responder = Arc::new(Responder::new(tree, stream.peer_addr().ok()));
    let memory = &admitted.memory;
    // Holds the last transfer until the connection ends or serves another request.
    let current: Arc<Mutex<Option<Arc<Transfer>>>> = Arc::default();
    let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        let (responder, current, memory) =
            (Arc::clone(&responder), Arc::clone(&current), memory.clone());
        async move {
            memory.begin_response();
            let mut response = responder.call(request).await;
            if let Ok(response) = &mut response {
                *lock(&current) = response.extensions_mut().remove();
            }
            response.map(|r| r.map(|body| TrackedBody::new(body, memory)))
        }
    });
    let stream = WatchedStream::new(stream).with_max_stall(WRITE_TIMEOUT);
    let stream = MeteredStream::new(stream, memory.clone());
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        result = connection => {
            // A broken connection affects its own request only.
            if let Err(error) = result {
                tracing::debug!(event = "admin_connection_broke", %error);
            }
        }
        () = memory.given_up() => {}
    }
}
