//! Connections whose buffers in the kernel are bounded.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpSocket, TcpStream};

/// Socket buffers of a connection, in each direction. Without this limit the kernel buffers megabytes of
/// each request that an endpoint reads slowly, and of each response for a slow client.
const BUFFER_BYTES: u32 = 128 << 10;

/// Opens a connection with bounded buffers.
///
/// # Errors
///
/// Fails if the connection is refused or the kernel refuses an option.
pub async fn connect_bounded(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Set before the connection is opened: the window of its first packets depends on them.
    socket.set_send_buffer_size(BUFFER_BYTES)?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.connect(address).await
}
