//! Clients' connections.

mod connection;
mod head_tap;
mod in_flight;
mod tap_state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::dial::set_socket_options;
use crate::node::{Node, Phase};

/// Connections that may wait to be accepted; a few hundred clients may come in the same moment.
const BACKLOG: u32 = 1_024;
/// Bytes of answers that the kernel keeps for a client who reads slowly. Without it the kernel lets
/// megabytes pile up for each connection before a write finds no room.
const SEND_BUFFER: u32 = 128 << 10;
/// Pause after a failed accept, as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Descriptors kept for files, listeners, the store and peers.
const RESERVED: usize = 300;
/// Descriptors of a client with a request: its connection and the endpoint's.
const PER_CLIENT: usize = 2;
/// Memory of an open connection with its buffers, in bytes: what the library reads into, as much again for a
/// whole head, and the tasks and states beside them. 1,877 connections with seven kilobytes of a head each
/// took 46 MB, 25 KB each.
const CONNECTION_BYTES: usize = 24 << 10;

/// Opens the socket that clients connect to.
///
/// # Errors
///
/// Fails if the address is another program's or not this machine's.
pub fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    let socket = socket.context("open socket")?;
    socket.set_reuseaddr(true).context("reuse address")?;
    socket.set_send_buffer_size(SEND_BUFFER).context("send buffer")?;
    socket.bind(address).with_context(|| format!("bind {address}"))?;
    socket.listen(BACKLOG).with_context(|| format!("listen on {address}"))
}

/// Serves clients until the instance closes and every connection has ended.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let most = most_connections(&node);
    let permits = Arc::new(Semaphore::new(most));
    let mut phases = node.phases();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            _ = phases.wait_for(|p| *p >= Phase::Closing) => break,
        };
        let Some(stream) = stream else { continue };
        // A connection that is closed before its request was read is safely tried elsewhere.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            tracing::warn!(event = "connection_refused", most);
            continue;
        };
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            node.metrics.connections.inc();
            connection::serve(&node, stream).await;
            node.metrics.connections.dec();
            drop(permit);
        });
    }
    drop(listener);
    let all = u32::try_from(most).unwrap_or(u32::MAX);
    // The semaphore is never closed, so this waits for the last connection.
    drop(permits.acquire_many(all).await);
}

fn most_connections(node: &Node) -> usize {
    let settings = node.settings();
    let by_descriptors = settings.descriptors.saturating_sub(RESERVED) / PER_CLIENT;
    let by_memory = settings.memory / 2 / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(1)
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
            sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}
