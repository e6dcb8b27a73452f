//! The operators' and probes' side of an instance.

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
use tokio::net::TcpListener;
use viz::{Request, Router, types};

use crate::front::{Limits, listen, node};
use crate::node::{Node, Phase};

/// Most connections of operators and probes.
const CONNECTIONS: usize = 64;
const HEADER_WAIT: Duration = Duration::from_secs(5);

/// Serves operators and probes until the planned stop.
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
    // Operators and probes follow a planned stop to its end.
    let limits = Limits {
        connections: CONNECTIONS,
        header_wait: HEADER_WAIT,
        write_wait: node.settings.write_wait,
        until: Phase::Stopped,
    };
    listen(socket, router, &limits, node.watch_phase()).await;
}

/// Refuses a request without the operators' token.
fn authorize<P: Platform>(node: &Node<P>, req: &Request) -> Result<(), Failure> {
    let given = req.headers().get(header::AUTHORIZATION).and_then(|v| v.to_str().ok());
    let token = given.and_then(|t| t.strip_prefix("Bearer ")).unwrap_or("");
    if node.settings.operator_token.matches(token) {
        return Ok(());
    }
    node.audit(AuditEvent::TokenRefused, &format!("path={}", route(req)));
    Err(Failure::new(Code::BadToken, "the operators' token is missing or wrong"))
}

/// Returns the first part of the path, so that refused guesses are counted together.
fn route(req: &Request) -> &str {
    req.uri().path().split('/').nth(1).unwrap_or("")
}
