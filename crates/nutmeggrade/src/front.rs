//! HTTP API for callers: listener, routes and responses.

pub mod body;
mod completions;
mod entries;
mod listener;
mod reply;
mod services;

use std::sync::Arc;

use nutmeggrade_platform::Platform;
use nutmeggrade_relay::intake::ConnectionLimit;
use tokio::net::TcpListener;
use viz::{Request, RequestExt, Router, types};

use crate::node::{Node, Phase};

pub use listener::{Limits, listen};
pub use nutmeggrade_relay::intake::bind;
pub use reply::{Reply, failure, json, result_code};

/// Serves callers until a planned stop drains the instance and every connection has ended.
pub async fn serve<P: Platform>(node: Arc<Node<P>>, socket: TcpListener) {
    let router = Router::new()
        .get("/v1/entries", entries::get::<P>)
        .post("/v1/completions", completions::post::<P>)
        .post("/v1/services/:service/:operation", services::post::<P>)
        .any("/*", reply::not_found)
        .with(types::State::new(Arc::clone(&node)));
    let limits = Limits {
        connections: ConnectionLimit::new(&node.memory, node.settings.connections),
        header_wait: node.settings.header_wait,
        write_wait: node.settings.write_wait,
        until: Phase::Draining,
    };
    listen(socket, router, limits, node.watch_phase()).await;
}

/// Returns the instance from the state of a request, in the API of callers or of operators.
pub fn node<P: Platform>(req: &Request) -> Result<Arc<Node<P>>, viz::Error> {
    use viz::IntoResponse;
    let missing_state = || http::StatusCode::INTERNAL_SERVER_ERROR.into_error();
    req.state::<Arc<Node<P>>>().ok_or_else(missing_state)
}
