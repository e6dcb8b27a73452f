//! A plain TCP connection, for clients that violate the protocol.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Far longer than any timeout that a test sets.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Receive window in bytes, small so that unread data soon blocks the sender.
const WINDOW_BYTES: u32 = 4_096;

/// A plain TCP connection without an HTTP client.
#[derive(Debug)]
pub struct RawConnection(TcpStream);

impl RawConnection {
    /// Connects with a small receive window.
    pub async fn connect(address: SocketAddr) -> anyhow::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(WINDOW_BYTES)?;
        let stream = timeout(TIMEOUT, socket.connect(address)).await.context("connect")??;
        Ok(Self(stream))
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        timeout(TIMEOUT, self.0.write_all(bytes)).await.context("write hangs")??;
        Ok(())
    }

    /// Reads until the peer closes the connection; a reset counts as closed.
    pub async fn read_to_end(&mut self) -> anyhow::Result<String> {
        let mut bytes = Vec::new();
        let read = timeout(TIMEOUT, self.0.read_to_end(&mut bytes)).await;
        drop(read.context("connection stays open")?);
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}
