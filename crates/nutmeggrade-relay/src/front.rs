//! Accepts and serves clients' connections.

mod connection;
mod connection_state;
mod head_recorder;
mod in_flight;
mod origin;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use self::origin::Origin;
use crate::connect::set_socket_options;
use crate::node::{Node, Phase};

/// Connections that may wait to be accepted; a few hundred clients may connect at once.
const BACKLOG: u32 = 1_024;
/// Socket send buffer of a connection. Without this limit the kernel buffers megabytes for each
/// slow client before a write blocks.
const SEND_BUFFER_BYTES: u32 = 128 << 10;
/// Delay after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// File descriptors reserved for files, listeners, the store and peers.
const RESERVED_DESCRIPTORS: usize = 300;
/// File descriptors of a client with a request: its connection and the one to the endpoint.
const DESCRIPTORS_PER_CLIENT: usize = 2;
/// Share of the connections that peers may use for the requests that they forward, as a divisor. The
/// others are left to this instance's own clients.
const FORWARDED_SHARE_DIVISOR: usize = 4;
/// Memory of an open connection: hyper's read buffer, as much again for a whole head, and the tasks
/// and their state. 1,877 connections with 7 KB of a head each took 46 MB, 25 KB each.
const CONNECTION_BYTES: usize = 24 << 10;

/// Binds the socket that accepts client connections.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this machine.
pub fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.context("open socket")?;
    socket.set_reuseaddr(true).context("set SO_REUSEADDR")?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).context("set SO_SNDBUF")?;
    socket.bind(address).with_context(|| format!("bind {address}"))?;
    socket.listen(BACKLOG).with_context(|| format!("listen on {address}"))
}

/// Serves clients, and peers that forward requests, until the instance enters the closing phase and
/// every connection has ended.
pub async fn serve(node: Arc<Node>, clients: TcpListener, peers: TcpListener) {
    let max_connections = connection_limit(&node);
    let permits = Arc::new(Semaphore::new(max_connections));
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
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            tracing::warn!(event = "connection_refused", most = max_connections);
            continue;
        };
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            node.metrics.connections.inc();
            connection::serve(&node, stream, origin).await;
            node.metrics.connections.dec();
            drop(permit);
        });
    }
    drop((clients, peers));
    let all_permits = u32::try_from(max_connections).unwrap_or(u32::MAX);
    // The semaphore is never closed, so this waits for the last connection.
    drop(permits.acquire_many(all_permits).await);
}

fn connection_limit(node: &Node) -> usize {
    let settings = node.settings();
    let descriptor_limit =
        settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CLIENT;
    let memory_limit = settings.memory / 2 / CONNECTION_BYTES;
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
