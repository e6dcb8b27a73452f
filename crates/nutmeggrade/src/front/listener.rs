//! Accepts connections within limits and closes them gracefully.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use nutmeggrade_core::prelude::*;
use nutmeggrade_platform::WatchedStream;
use nutmeggrade_relay::intake::{ConnectionLimit, ConnectionMemory, MeteredStream, TrackedBody};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;
use viz::{Body, Responder, Router, Tree};

use super::reply::failure;
use crate::node::Phase;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of connections that are refused concurrently; others wait in the listen queue.
const MAX_REFUSALS: usize = 64;
/// Maximum size of a request's head, and of a response buffered for a slow reader.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Limits on connections, and the phase that ends them.
#[derive(Debug)]
pub struct Limits {
    /// Concurrent connections, and the memory that they share with those of other listeners.
    pub connections: ConnectionLimit,
    /// Timeout for a request's head, which also applies to an idle connection.
    pub header_wait: Duration,
    /// Maximum time in which a caller reads no byte of its response.
    pub write_wait: Duration,
    /// Phase of a planned stop from which no connection is accepted.
    pub until: Phase,
}

/// Serves a router until the phase in `limits` and until every connection has ended.
///
/// The `serve` function of `viz` sets no header timeout and no connection limit, so that idle
/// clients could use up an instance's memory.
pub async fn listen(
    socket: TcpListener,
    router: Router,
    limits: Limits,
    mut phase: watch::Receiver<Phase>,
) {
    let until = limits.until;
    let server = Server {
        tree: Arc::new(Tree::from(router)),
        graceful: GracefulShutdown::new(),
        limits,
        phase: phase.clone(),
    };
    let refusals = Arc::new(Semaphore::new(MAX_REFUSALS));
    loop {
        let accepted = tokio::select! {
            accepted = accept(&socket) => accepted,
            _ = phase.wait_for(|p| *p >= until) => break,
        };
        if let Some(stream) = accepted {
            server.admit(stream, &refusals).await;
        }
    }
    // Closing the socket would reset connections that the kernel has already accepted, and their
    // callers could not tell whether their requests ran.
    while let Some(Some(stream)) = accept(&socket).now_or_never() {
        server.admit(stream, &refusals).await;
    }
    drop(socket);
    server.graceful.shutdown().await;
}

async fn accept(socket: &TcpListener) -> Option<TcpStream> {
    match socket.accept().await {
        Ok((stream, _)) => {
            stream.set_nodelay(true).ok()?;
            Some(stream)
        }
        Err(error) => {
            tracing::warn!(event = "accept_failed", %error);
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

struct Server {
    tree: Arc<Tree>,
    graceful: GracefulShutdown,
    limits: Limits,
    phase: watch::Receiver<Phase>,
}

impl Server {
    /// Serves a connection, or refuses it at once if there are too many.
    ///
    /// To its caller, a connection in the listen queue looks established: the caller would wait for
    /// its whole deadline instead of trying another entry.
    async fn admit(&self, stream: TcpStream, refusals: &Arc<Semaphore>) {
        if let Some(admitted) = self.limits.connections.admit().await {
            let responder = Responder::new(Arc::clone(&self.tree), stream.peer_addr().ok());
            let responder = Arc::new(responder);
            let phase = self.phase.clone();
            let memory = admitted.memory.clone();
            let service = service_fn(move |mut req: Request<Incoming>| {
                let (responder, memory) = (Arc::clone(&responder), memory.clone());
                let phase = phase.clone();
                async move {
                    memory.begin_body();
                    req.extensions_mut().insert(memory.clone());
                    let mut response = responder.call(req).await?;
                    // Checked last: keep-alive connections must not outlast the leaving phase.
                    if *phase.borrow() > Phase::Serving || memory.is_between_requests() {
                        set_close(&mut response);
                    }
                    Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, memory)))
                }
            });
            let memory = admitted.memory.clone();
            let stream = MeteredStream::new(self.limit_writes(stream), memory.clone());
            let connection =
                self.graceful.watch(self.http().serve_connection(TokioIo::new(stream), service));
            tokio::spawn(async move {
                serve_until_given_up(connection, &memory).await;
                drop(admitted);
            });
        } else if let Ok(permit) = Arc::clone(refusals).acquire_owned().await {
            let retry_after = self.limits.header_wait;
            let service = service_fn(move |_| async move {
                Ok::<_, Infallible>(too_many_connections(retry_after))
            });
            let stream = TokioIo::new(self.limit_writes(stream));
            let connection = self.graceful.watch(self.http().serve_connection(stream, service));
            tokio::spawn(async move {
                // Only the refusal itself can be lost.
                drop(connection.await);
                drop(permit);
            });
        }
    }

    fn limit_writes(&self, stream: TcpStream) -> WatchedStream {
        WatchedStream::new(stream).with_max_stall(self.limits.write_wait)
    }

    fn http(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_wait)
            .max_buf_size(MAX_BUFFER_BYTES);
        builder
    }
}

/// Serves a connection until it ends or, between its requests, is given up for others.
async fn serve_until_given_up<C: Future>(connection: C, memory: &ConnectionMemory) {
    let mut connection = pin!(connection);
    tokio::select! {
        // A connection error affects only its own request, which the handler has logged.
        _ = connection.as_mut() => return,
        () = memory.given_up() => {}
    }
    // A request that is being received is refused, which closes the connection.
    if !memory.is_between_requests() {
        connection.await;
    }
}

/// Announces that the connection closes after this response.
fn set_close(response: &mut Response<Body>) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn too_many_connections(retry_after: Duration) -> Response<Body> {
    let refusal = Failure::new(Code::TooManyConnections, "too many connections; use another entry");
    let mut response = failure(&refusal.with_retry_after(retry_after));
    set_close(&mut response);
    response
}
