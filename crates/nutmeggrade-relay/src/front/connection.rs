//! One client's connection.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::{Arc, Mutex};

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::head_tap::HeadTap;
use super::in_flight::InFlight;
use super::tap_state::TapState;
use crate::node::{Node, Phase};
use crate::relay;
use crate::tables::lock;

/// Smallest buffer that the library takes for heads.
const LEAST_BUFFER: usize = 8_192;

/// Serves one connection until it ends.
pub async fn serve(node: &Arc<Node>, stream: TcpStream) {
    let limits = node.map().limits;
    let state = Arc::new(Mutex::new(TapState::new(&limits, node.now())));
    let tap = HeadTap::new(stream, Arc::clone(&state), node.clock);
    let service = service_fn(|request| answer(Arc::clone(node), Arc::clone(&state), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(tap), service);
    let mut connection = pin!(connection);
    let mut phases = node.phases();
    let mut is_closing = false;
    loop {
        let look = node.now().after(limits.head_timeout.min(limits.idle_timeout));
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    tracing::debug!(event = "connection_broke", %error);
                }
                return;
            }
            () = node.clock.until(look) => {
                if lock(&state).is_overdue(&limits, node.now()) {
                    return;
                }
            }
            _ = phases.wait_for(|p| *p >= Phase::Closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn answer(
    node: Arc<Node>,
    state: Arc<Mutex<TapState>>,
    request: Request<Incoming>,
) -> Result<Response<InFlight>, Infallible> {
    let record = lock(&state).start().freeze();
    let mut response = relay::relay(&node, request, &record).await;
    // Read last: a connection that is kept must not outlive the leaving phase.
    if node.phase() > Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| InFlight::new(body, state, node.clock)))
}
