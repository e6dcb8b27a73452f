//! A client that controls every byte that it sends.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use super::message::{Answer, Message};
use super::vanishing::vanish;

/// Timeout of every read, far longer than any response takes on a busy machine.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A client's connection.
#[derive(Debug)]
pub struct RawClient {
    stream: TcpStream,
}

impl RawClient {
    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> anyhow::Result<Self> {
        Ok(Self { stream: TcpStream::connect(address).await.context("connect")? })
    }

    /// Opens a connection whose receive buffer holds about this many bytes that the client hasn't read.
    pub async fn connect_with_buffer(address: SocketAddr, bytes: u32) -> anyhow::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(bytes)?;
        Ok(Self { stream: socket.connect(address).await.context("connect")? })
    }

    /// Makes the client vanish: it acknowledges nothing more.
    pub fn vanish(&self) -> anyhow::Result<()> {
        vanish(&self.stream).context("vanish")
    }

    /// Sends a valid request to `/ROUTE/x` with the key `key-1` on a new connection and returns the
    /// response. `headers` holds further header lines, each with its line end.
    pub async fn ask(
        address: SocketAddr,
        route: &str,
        id: &str,
        headers: &str,
    ) -> anyhow::Result<Answer> {
        let mut client = Self::connect(address).await?;
        client.send(&request(route, id, "key-1", headers)).await?;
        client.answer().await
    }

    /// Sends text without any change.
    pub async fn send(&mut self, text: &str) -> anyhow::Result<()> {
        self.stream.write_all(text.as_bytes()).await.context("send")
    }

    /// Reads a response.
    pub async fn answer(&mut self) -> anyhow::Result<Answer> {
        let read = async {
            let head = Message::read_head(&mut self.stream).await?;
            let mut message = head.context("connection closed without a response")?;
            let (_, status) = message.request();
            let status = status.parse().context("status")?;
            let is_whole = message.read_body(&mut self.stream).await;
            Ok(Answer { status, message, is_whole })
        };
        timeout(READ_TIMEOUT, read).await.context("timed out waiting for a response")?
    }

    /// Reads until at least `min_bytes` have arrived, and returns them.
    pub async fn read_at_least(&mut self, min_bytes: usize) -> anyhow::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let read = async {
            while bytes.len() < min_bytes {
                let count = self.stream.read_buf(&mut bytes).await?;
                anyhow::ensure!(count > 0, "connection closed");
            }
            Ok(())
        };
        timeout(READ_TIMEOUT, read).await.context("timed out waiting for data")??;
        Ok(bytes)
    }

    /// Waits for the peer to send or close; returns whether it closed the connection.
    pub async fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        let read = timeout(READ_TIMEOUT, self.stream.read(&mut byte)).await;
        matches!(read, Ok(Ok(0) | Err(_)))
    }
}

/// Formats a request to `/ROUTE/x`. `headers` holds further header lines, each with its line end.
pub fn request(route: &str, id: &str, key: &str, headers: &str) -> String {
    request_with_body(route, id, key, headers, "body")
}

/// Formats a request to `/ROUTE/x` with a body.
pub fn request_with_body(route: &str, id: &str, key: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: desk.example\r\nX-Nutmeggrade-Attempt-Id: {id}\r\n\
         X-Api-Key: {key}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}
