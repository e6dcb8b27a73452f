//! HTTP API for operators, probes and peers.

mod audit;
mod config;
mod explain;
mod health;
mod metrics;
mod status;
mod sync;

use std::sync::Arc;
use std::time::Duration;

use http::header;
use nutmeggrade_core::audit::AuditEvent;
use nutmeggrade_core::peer::SYNC_PATH;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::Platform;
use nutmeggrade_relay::intake::ConnectionLimit;
use tokio::net::TcpListener;
use viz::{Request, Router, types};

use crate::front::{Limits, listen, node};
use crate::node::{Node, Phase};

/// Maximum number of connections of operators, probes and peers.
const MAX_CONNECTIONS: usize = 64;
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves operators, probes and peers until the instance has stopped.
pub async fn serve<P: Platform>(node: Arc<Node<P>>, socket: TcpListener) {
    let router = Router::new()
        .get("/live", health::live)
        .get("/ready", health::ready::<P>)
        .get("/metrics", metrics::get::<P>)
        .get("/status", status::get::<P>)
        .get("/audit", audit::get::<P>)
        .get("/explain/:request", explain::get::<P>)
        .post("/config", config::post::<P>)
        .post(SYNC_PATH, sync::post::<P>)
        .with(types::State::new(Arc::clone(&node)));
    // Stays available during a planned stop, so that operators and probes can observe it.
    let limits = Limits {
        connections: ConnectionLimit::new(&node.memory, MAX_CONNECTIONS),
        header_wait: HEADER_TIMEOUT,
        write_wait: node.settings.write_wait,
        until: Phase::Stopped,
    };
    listen(socket, router, limits, node.watch_phase()).await;
}

/// Returns an error for a request without the operators' token.
fn authorize<P: Platform>(node: &Node<P>, req: &Request) -> Result<(), Failure> {
    let authorization = req.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = authorization.and_then(|t| t.strip_prefix("Bearer ")).unwrap_or("");
    if node.settings.operator_token.matches(token) {
        return Ok(());
    }
    node.audit(AuditEvent::TokenRefused, &format!("path={}", route(req)));
    Err(Failure::new(Code::BadToken, "the operators' token is missing or wrong"))
}

/// Returns the first segment of the path, so that refused guesses share one audit entry.
fn route(req: &Request) -> &str {
    req.uri().path().split('/').nth(1).unwrap_or("")
}
