//! Readiness, the directory of instances, what peers ask for, and metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use http::{HeaderValue, StatusCode, header};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmeggrade_core::rollout::{ROLLOUTS_PATH, RolloutStatus};
use nutmeggrade_state::rollout::RolloutView;
use nutmeggrade_wire::kinds::Kind;
use nutmeggrade_wire::{directory, names};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use viz::{Body, Request, Responder, Response, Result as VizResult, Router, Tree};

use crate::fleet_sync::KNOWN_PATH;
use crate::node::Node;
use crate::settings::Settings;
use crate::tables::lock;
use crate::watch::known;

/// Most time for a request's head and on an idle connection.
const HEAD_WAIT: Duration = Duration::from_secs(10);
/// Longest that clients may keep the directory's answer. Short enough that those who ask again leave
/// an instance that stops well within its grace.
const KEEP: Duration = Duration::from_secs(2);
/// Pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
const METRICS_PATH: &str = "/metrics";
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// The sockets of everything that is not for clients' requests.
#[derive(Debug)]
pub struct Admin {
    ready: TcpListener,
    directory: TcpListener,
    control: TcpListener,
    metrics: TcpListener,
}

impl Admin {
    /// Opens the sockets.
    pub async fn bind(settings: &Settings) -> anyhow::Result<Self> {
        Ok(Self {
            ready: bind(settings.ready_address).await?,
            directory: bind(settings.directory_address).await?,
            control: bind(settings.control_address).await?,
            metrics: bind(settings.metrics_address).await?,
        })
    }

    /// Returns where readiness is asked for.
    pub fn ready(&self) -> anyhow::Result<SocketAddr> {
        self.ready.local_addr().context("readiness address")
    }

    /// Returns where clients ask for instances.
    pub fn directory(&self) -> anyhow::Result<SocketAddr> {
        self.directory.local_addr().context("directory address")
    }

    /// Returns where peers ask.
    pub fn control(&self) -> anyhow::Result<SocketAddr> {
        self.control.local_addr().context("control address")
    }

    /// Returns where metrics are served.
    pub fn metrics(&self) -> anyhow::Result<SocketAddr> {
        self.metrics.local_addr().context("metrics address")
    }

    /// Serves on all of them.
    pub fn start(self, node: &Arc<Node>) -> Vec<JoinHandle<()>> {
        vec![
            tokio::spawn(serve(self.ready, route(node, names::READY_PATH, readiness))),
            tokio::spawn(serve(self.directory, route(node, names::DIRECTORY_PATH, entries))),
            tokio::spawn(serve(self.control, control(node))),
            tokio::spawn(serve(self.metrics, route(node, METRICS_PATH, metrics))),
        ]
    }
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("bind {address}"))
}

fn control(node: &Arc<Node>) -> Router {
    with(route(node, KNOWN_PATH, knowledge), node, ROLLOUTS_PATH, rollouts)
}

fn route(node: &Arc<Node>, path: &str, answer: fn(&Node, &str) -> Response) -> Router {
    with(Router::new(), node, path, answer)
}

fn with(
    router: Router,
    node: &Arc<Node>,
    path: &str,
    answer: fn(&Node, &str) -> Response,
) -> Router {
    let node = Arc::clone(node);
    router.get(path, move |request: Request| {
        let node = Arc::clone(&node);
        async move { VizResult::Ok(answer(&node, request.uri().query().unwrap_or_default())) }
    })
}

fn readiness(node: &Node, _: &str) -> Response {
    let status = if node.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    respond(status, Vec::new())
}

fn entries(node: &Node, query: &str) -> Response {
    let near = directory::read_domain(query);
    let is_leaving = !node.is_ready();
    let mut addresses = lock(&node.tables).fleet.entries(near.as_ref(), is_leaving, node.now());
    if addresses.is_empty() {
        // Nobody else is known, and a refusal helps a client more than no address.
        addresses.push(node.seat.client);
    }
    let keep = KEEP.min(node.settings().entry_keep);
    respond(StatusCode::OK, directory::write(&addresses, keep))
}

fn knowledge(node: &Node, query: &str) -> Response {
    let name = query.strip_prefix("kind=").unwrap_or_default();
    let Some(kind) = Kind::ALL.into_iter().find(|kind| kind.name() == name) else {
        return respond(StatusCode::NOT_FOUND, Vec::new());
    };
    respond_json(&known(node, kind), "knowledge_unsendable")
}

fn rollouts(node: &Node, _: &str) -> Response {
    let views = lock(&node.tables).rollouts.views(node.now());
    let all: Vec<RolloutStatus> = views.iter().map(status).collect();
    respond_json(&all, "rollouts_unsendable")
}

fn status(view: &RolloutView) -> RolloutStatus {
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

fn metrics(node: &Node, _: &str) -> Response {
    let dropped = i64::try_from(node.logs.dropped()).unwrap_or(i64::MAX);
    node.metrics.dropped_lines.set(dropped);
    match node.metrics.text() {
        Ok(text) => {
            let mut response = Response::new(Body::Full(Full::new(text.into())));
            let kind = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(error) => {
            tracing::error!(event = "metrics_unsendable", error = format!("{error:#}"));
            respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

/// Sends a value as JSON; `event` is logged if it can't be written.
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

async fn serve(listener: TcpListener, router: Router) {
    let tree = Arc::new(Tree::from(router));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, Arc::clone(&tree)));
            }
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, tree: Arc<Tree>) {
    let responder = Arc::new(Responder::new(tree, stream.peer_addr().ok()));
    let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        let responder = Arc::clone(&responder);
        async move { responder.call(request).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_WAIT)
        .serve_connection(TokioIo::new(stream), service);
    // A broken connection ends its own request only.
    if let Err(error) = connection.await {
        tracing::debug!(event = "admin_connection_broke", %error);
    }
}
