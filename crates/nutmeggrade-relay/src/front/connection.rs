//! Serves a client's connection.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::{Arc, Mutex};

use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmeggrade_platform::WatchedStream;
use tokio::net::TcpStream;

use super::connection_state::ConnectionState;
use super::head_recorder::HeadRecorder;
use super::in_flight::InFlightBody;
use super::origin::Origin;
use crate::answer_deadline::AnswerDeadline;
use crate::intake::{ConnectionMemory, MeteredStream, TrackedBody};
use crate::node::{Node, Phase};
use crate::relay;
use crate::tables::lock;

/// Smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8_192;
/// What a peer adds to the head of a client's request.
const FORWARDED_HEAD_BYTES: usize = 2_048;

/// What the requests of a connection share.
struct ClientConnection {
    state: Arc<Mutex<ConnectionState>>,
    memory: ConnectionMemory,
}

/// Serves one connection until it ends.
pub async fn serve(node: &Arc<Node>, stream: TcpStream, origin: Origin, memory: &ConnectionMemory) {
    let mut limits = node.map().limits;
    if matches!(origin, Origin::Peer(_)) {
        limits.head_bytes += FORWARDED_HEAD_BYTES;
    }
    let state = Arc::new(Mutex::new(ConnectionState::new(&limits, node.now())));
    let stream = WatchedStream::new(stream);
    let stream = HeadRecorder::new(stream, Arc::clone(&state), node.clock);
    let stream = MeteredStream::new(stream, memory.clone());
    let service = service_fn(|request| {
        let client = ClientConnection { state: Arc::clone(&state), memory: memory.clone() };
        serve_request(Arc::clone(node), client, request, &origin)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_header_size(limits.head_bytes)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let mut phases = node.phases();
    let mut is_closing = false;
    let mut is_given_up = false;
    loop {
        let next_check = node.now().after(limits.head_timeout.min(limits.idle_timeout));
        tokio::select! {
            result = connection.as_mut() => {
                if let Err(error) = result {
                    tracing::debug!(event = "connection_broke", %error);
                }
                return;
            }
            () = node.clock.until(next_check) => {
                if lock(&state).is_timed_out(&limits, node.now()) {
                    return;
                }
            }
            () = memory.given_up(), if !is_given_up => {
                is_given_up = true;
                // A request that is being received is refused, which closes the connection.
                if memory.is_between_requests() {
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

async fn serve_request(
    node: Arc<Node>,
    client: ClientConnection,
    request: Request<Incoming>,
    origin: &Origin,
) -> Result<Response<TrackedBody<InFlightBody>>, Infallible> {
    let ClientConnection { state, memory } = client;
    let head_bytes = lock(&state).start_request().freeze();
    let mut response = match origin {
        Origin::Client => relay::relay(&node, request, head_bytes, &memory).await,
        Origin::Peer(Some(_)) => relay::relay_forwarded(&node, request, &memory).await,
        Origin::Peer(None) => relay::refuse_forwarded(&node, request, &memory),
    };
    let deadline = response.extensions_mut().remove::<AnswerDeadline>();
    lock(&state).begin_response(deadline.map(|AnswerDeadline(deadline)| deadline));
    // Read after the response is ready: no connection may be kept alive past the leaving phase.
    if node.phase() > Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response.map(|body| TrackedBody::new(InFlightBody::new(body, state, node.clock), memory)))
}
