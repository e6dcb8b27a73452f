//! Sockets that clients connect to.

use std::net::SocketAddr;

use anyhow::Context;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted; a few hundred clients may connect at once.
const BACKLOG: u32 = 1_024;
/// Socket send buffer of a connection. Without this limit the kernel buffers megabytes for each
/// slow client before a write blocks.
pub const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Socket receive buffer of a connection. Without this limit the kernel buffers megabytes that are not
/// read yet.
pub const RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Binds a socket that accepts clients' connections.
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
    let size = |bytes: usize| u32::try_from(bytes).unwrap_or(u32::MAX);
    socket.set_reuseaddr(true).context("set SO_REUSEADDR")?;
    socket.set_send_buffer_size(size(SEND_BUFFER_BYTES)).context("set SO_SNDBUF")?;
    socket.set_recv_buffer_size(size(RECEIVE_BUFFER_BYTES)).context("set SO_RCVBUF")?;
    socket.bind(address).with_context(|| format!("bind {address}"))?;
    socket.listen(BACKLOG).with_context(|| format!("listen on {address}"))
}
