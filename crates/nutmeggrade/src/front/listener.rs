//! Accepts connections within limits and closes them gracefully.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::sleep;
use viz::{Responder, Router, Tree};

use crate::node::Phase;

/// Pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Limits on connections.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Most connections at a time; more wait in the listen queue.
    pub connections: usize,
    /// Most time for a request's head, counted on an idle connection too.
    pub header_wait: Duration,
}

/// Serves a router until the phase is draining and every connection has ended.
///
/// The library's own `serve` sets no header timeout and no connection limit, so that a few clients
/// that send nothing could hold all of an instance's memory.
pub async fn listen(
    socket: TcpListener,
    router: Router,
    limits: &Limits,
    mut phase: watch::Receiver<Phase>,
) {
    let tree = Arc::new(Tree::from(router));
    let permits = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = accept(&socket, &permits) => accepted,
            _ = phase.wait_for(|p| *p >= Phase::Draining) => break,
        };
        let Some((stream, permit)) = accepted else { continue };
        let remote = stream.peer_addr().ok();
        let responder = Responder::new(Arc::clone(&tree), remote);
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.header_wait)
            .serve_connection(TokioIo::new(stream), responder);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A broken connection ends its own request only; the handler has logged it.
            drop(connection.await);
            drop(permit);
        });
    }
    drop(socket);
    graceful.shutdown().await;
}

async fn accept(
    socket: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match socket.accept().await {
        Ok((stream, _)) => {
            stream.set_nodelay(true).ok()?;
            Some((stream, permit))
        }
        Err(error) => {
            tracing::warn!(event = "accept_failed", %error);
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}
