//! A bare connection, for callers that don't keep to the protocol.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Far longer than any limit that a test sets.
const PATIENCE: Duration = Duration::from_secs(30);
/// A small window, so that what is not read soon stands in the sender's way.
const WINDOW: u32 = 4_096;

/// A bare connection.
#[derive(Debug)]
pub struct Raw(TcpStream);

impl Raw {
    /// Connects.
    pub async fn connect(address: SocketAddr) -> anyhow::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(WINDOW)?;
        let stream = timeout(PATIENCE, socket.connect(address)).await.context("connect")??;
        Ok(Self(stream))
    }

    /// Writes everything.
    pub async fn write(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        timeout(PATIENCE, self.0.write_all(bytes)).await.context("write hangs")??;
        Ok(())
    }

    /// Reads until the other side closes; a reset counts as closed.
    pub async fn read_to_end(&mut self) -> anyhow::Result<String> {
        let mut bytes = Vec::new();
        let read = timeout(PATIENCE, self.0.read_to_end(&mut bytes)).await;
        drop(read.context("the connection stays open")?);
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}
