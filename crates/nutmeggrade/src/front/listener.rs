//! Accepts connections within limits and closes them gracefully.

use std::convert::Infallible;
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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::sleep;
use viz::{Body, Responder, Router, Tree};

use super::reply::failure;
use super::write_limit::WriteLimit;
use crate::node::Phase;

/// Pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections beyond the limit that are told so at a time; more wait in the listen queue.
const REFUSALS: usize = 64;
/// Bytes of a request's head, and of answers that wait for a caller who reads slowly.
const BUFFER: usize = 64 << 10;
/// Limits on connections, and how long a planned stop keeps them.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most connections at a time.
    pub connections: usize,
    /// Most time for a request's head, counted on an idle connection too.
    pub header_wait: Duration,
    /// Most time in which a caller takes no byte of its answer.
    pub write_wait: Duration,
    /// The phase of a planned stop from which no connection is accepted.
    pub until: Phase,
}

/// Serves a router until the phase in `limits` and until every connection has ended.
///
/// The library's own `serve` sets no header timeout and no connection limit, so that a few clients
/// that send nothing could hold all of an instance's memory.
pub async fn listen(
    socket: TcpListener,
    router: Router,
    limits: &Limits,
    mut phase: watch::Receiver<Phase>,
) {
    let server = Server {
        tree: Arc::new(Tree::from(router)),
        graceful: GracefulShutdown::new(),
        limits: *limits,
        phase: phase.clone(),
    };
    let permits = Arc::new(Semaphore::new(limits.connections));
    let refusals = Arc::new(Semaphore::new(REFUSALS));
    let until = limits.until;
    loop {
        let accepted = tokio::select! {
            accepted = accept(&socket) => accepted,
            _ = phase.wait_for(|p| *p >= until) => break,
        };
        if let Some(stream) = accepted {
            server.admit(stream, &permits, &refusals).await;
        }
    }
    // Connections that the kernel took before the socket closes would be reset, and their callers
    // could not tell whether their request ran.
    while let Some(Some(stream)) = accept(&socket).now_or_never() {
        server.admit(stream, &permits, &refusals).await;
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
            sleep(ACCEPT_PAUSE).await;
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
    /// Serves a connection, or says at once that there are too many.
    ///
    /// A connection that only waited in the listen queue would look established to its caller, which
    /// would wait for its whole deadline in place of asking another entry.
    async fn admit(&self, stream: TcpStream, permits: &Arc<Semaphore>, refusals: &Arc<Semaphore>) {
        if let Ok(permit) = Arc::clone(permits).try_acquire_owned() {
            let responder = Responder::new(Arc::clone(&self.tree), stream.peer_addr().ok());
            let responder = Arc::new(responder);
            let phase = self.phase.clone();
            let service = service_fn(move |req: Request<Incoming>| {
                let responder = Arc::clone(&responder);
                let phase = phase.clone();
                async move {
                    let mut answer = responder.call(req).await?;
                    // Read last: a connection that is kept must not outlive the leaving phase.
                    if *phase.borrow() > Phase::Serving {
                        close(&mut answer);
                    }
                    Ok::<_, Infallible>(answer)
                }
            });
            self.spawn(stream, service, permit);
        } else if let Ok(permit) = Arc::clone(refusals).acquire_owned().await {
            let wait = self.limits.header_wait;
            let service = service_fn(move |_| async move { Ok::<_, Infallible>(too_many(wait)) });
            self.spawn(stream, service, permit);
        }
    }

    fn spawn<S>(&self, stream: TcpStream, service: S, permit: OwnedSemaphorePermit)
    where
        S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
        S: Send + 'static,
        S::Future: Send + 'static,
    {
        let stream = WriteLimit::new(stream, self.limits.write_wait);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_wait)
            .max_buf_size(BUFFER)
            .serve_connection(TokioIo::new(stream), service);
        let connection = self.graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection ends its own request only; the handler has logged it.
            drop(connection.await);
            drop(permit);
        });
    }
}

/// Tells a caller not to use the connection again.
fn close(answer: &mut Response<Body>) {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn too_many(wait: Duration) -> Response<Body> {
    let refusal = Failure::new(Code::TooManyConnections, "too many connections; use another entry");
    let mut answer = failure(&refusal.with_retry_after(wait));
    close(&mut answer);
    answer
}
