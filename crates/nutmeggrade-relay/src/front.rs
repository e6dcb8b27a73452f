//! Accepts and serves clients' connections.

mod connection;
mod connection_state;
mod head_recorder;
mod in_flight;
mod origin;

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use self::origin::Origin;
use crate::admin;
use crate::connect::set_socket_options;
use crate::intake::ConnectionLimit;
use crate::node::{Node, Phase};

/// Delay after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// File descriptors reserved for files, listeners, the store and peers.
const RESERVED_DESCRIPTORS: usize = 100;
/// File descriptors of a client with a request: its connection and the one to the endpoint.
const DESCRIPTORS_PER_CLIENT: usize = 2;
/// Share of the connections that peers may use for the requests that they forward, as a divisor. The
/// others are left to this instance's own clients.
const FORWARDED_SHARE_DIVISOR: usize = 4;
/// Memory of an open connection with a whole head: hyper's read buffer, as much again for the head, and
/// the tasks and their state. 1,877 connections with 7 KB of a head each took 46 MB, 25 KB each.
const REQUEST_BYTES: usize = 24 << 10;

/// Serves clients, and peers that forward requests, until the instance enters the closing phase and
/// every connection has ended.
pub async fn serve(node: Arc<Node>, clients: TcpListener, peers: TcpListener) {
    let max_connections = connection_limit(&node);
    let limit = ConnectionLimit::new(&node.memory, max_connections);
    let peer_permits = Arc::new(Semaphore::new(max_connections.div_ceil(FORWARDED_SHARE_DIVISOR)));
    let mut phases = node.phases();
    loop {
        let (stream, origin) = tokio::select! {
            stream = accept(&clients) => (stream, Origin::Client),
            stream = accept(&peers) => {
                // A connection without a permit is served too, and its request refused: after a
                // closed connection, the peer could not tell whether the request ran.
                let permit = Arc::clone(&peer_permits).try_acquire_owned().ok();
                (stream, Origin::Peer(permit))
            }
            _ = phases.wait_for(|p| *p >= Phase::Closing) => break,
        };
        let Some(stream) = stream else { continue };
        // Closing before a request is read lets the client safely retry at another instance.
        let Some(admitted) = limit.admit().await else { continue };
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            node.metrics.connections.inc();
            connection::serve(&node, stream, origin, &admitted.memory).await;
            node.metrics.connections.dec();
            drop(admitted);
        });
    }
    drop((clients, peers));
    limit.all_closed().await;
}

fn connection_limit(node: &Node) -> usize {
    let settings = node.settings();
    let reserved = RESERVED_DESCRIPTORS + admin::connections(settings.descriptors);
    let descriptor_limit = settings.descriptors.saturating_sub(reserved) / DESCRIPTORS_PER_CLIENT;
    let memory_limit = settings.memory / 2 / REQUEST_BYTES;
    descriptor_limit.min(memory_limit).max(1)
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => match set_socket_options(&stream) {
            Ok(()) => Some(stream),
            Err(error) => {
                tracing::debug!(event = "connection_lost", %error);
                None
            }
        },
        Err(error) => {
            tracing::warn!(event = "accept_failed", %error);
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}
