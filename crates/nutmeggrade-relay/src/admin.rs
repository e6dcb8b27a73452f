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
use nutmeggrade_wire::{directory, names};
use tokio::net::{TcpListener, TcpStream};
use viz::{Body, Request, Responder, Response, Result as VizResult, Router, Tree};

use crate::fleet_sync::KNOWN_PATH;
use crate::node::Node;
use crate::tables::lock;
use crate::watch::known;

/// Most time for a request's head and on an idle connection.
const HEAD_WAIT: Duration = Duration::from_secs(10);
/// Longest that clients may keep the directory's answer. Short enough that those who ask again leave
/// an instance that stops well within its grace.
const KEEP: Duration = Duration::from_secs(2);
const METRICS_PATH: &str = "/metrics";
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Serves everything that is not for clients' requests.
pub async fn start(node: &Arc<Node>) -> anyhow::Result<()> {
    let settings = node.settings();
    let ready = route(node, names::READY_PATH, readiness);
    let entries = route(node, names::DIRECTORY_PATH, entries);
    let control = route(node, KNOWN_PATH, knowledge);
    let metrics = route(node, METRICS_PATH, metrics);
    serve(settings.ready_address, ready).await?;
    serve(settings.directory_address, entries).await?;
    serve(settings.control_address, control).await?;
    serve(settings.metrics_address, metrics).await
}

fn route(node: &Arc<Node>, path: &str, answer: fn(&Node) -> Response) -> Router {
    let node = Arc::clone(node);
    Router::new().get(path, move |_: Request| {
        let node = Arc::clone(&node);
        async move { VizResult::Ok(answer(&node)) }
    })
}

fn readiness(node: &Node) -> Response {
    let status = if node.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    respond(status, Vec::new())
}

fn entries(node: &Node) -> Response {
    let is_leaving = !node.is_ready();
    let mut addresses = lock(&node.tables).fleet.entries(is_leaving, node.now());
    if addresses.is_empty() {
        // Nobody else is known, and a refusal helps a client more than no address.
        addresses.push(node.seat.client);
    }
    let keep = KEEP.min(node.settings().entry_keep);
    respond(StatusCode::OK, directory::write(&addresses, keep))
}

fn knowledge(node: &Node) -> Response {
    match serde_json::to_vec(&known(node)) {
        Ok(body) => respond(StatusCode::OK, body),
        Err(error) => {
            tracing::error!(event = "knowledge_unsendable", %error);
            respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
        }
    }
}

fn metrics(node: &Node) -> Response {
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

fn respond(status: StatusCode, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::Full(Full::new(body.into())));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, JSON);
    response
}

async fn serve(address: SocketAddr, router: Router) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await.with_context(|| format!("bind {address}"))?;
    let tree = Arc::new(Tree::from(router));
    tokio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(connection(stream, Arc::clone(&tree)));
                }
                Err(error) => {
                    tracing::warn!(event = "accept_failed", %address, %error);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
    Ok(())
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
