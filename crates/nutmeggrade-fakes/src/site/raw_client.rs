//! A client that controls each byte.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::message::{Answer, Message};

/// Far longer than anything takes on a busy machine.
const PATIENCE: Duration = Duration::from_secs(30);

/// A client's connection.
#[derive(Debug)]
pub struct RawClient {
    stream: TcpStream,
}

impl RawClient {
    /// Connects.
    pub async fn connect(address: SocketAddr) -> anyhow::Result<Self> {
        Ok(Self { stream: TcpStream::connect(address).await.context("connect")? })
    }

    /// Sends a proper request to `/ROUTE/x` with the key `key-1`, and returns the answer.
    pub async fn ask(
        address: SocketAddr,
        route: &str,
        id: &str,
        more: &str,
    ) -> anyhow::Result<Answer> {
        let mut client = Self::connect(address).await?;
        client.send(&request(route, id, "key-1", more)).await?;
        client.answer().await
    }

    /// Sends bytes.
    pub async fn send(&mut self, text: &str) -> anyhow::Result<()> {
        self.stream.write_all(text.as_bytes()).await.context("send")
    }

    /// Reads an answer.
    pub async fn answer(&mut self) -> anyhow::Result<Answer> {
        let read = async {
            let head = Message::read_head(&mut self.stream).await?;
            let mut message = head.context("closed without an answer")?;
            let (_, status) = message.request();
            let status = status.parse().context("status")?;
            let is_whole = message.read_body(&mut self.stream).await;
            Ok(Answer { status, message, is_whole })
        };
        timeout(PATIENCE, read).await.context("no answer")?
    }

    /// Reads until so many bytes have come, and returns them.
    pub async fn read_some(&mut self, least: usize) -> anyhow::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        let read = async {
            while bytes.len() < least {
                let count = self.stream.read_buf(&mut bytes).await?;
                anyhow::ensure!(count > 0, "closed");
            }
            Ok(())
        };
        timeout(PATIENCE, read).await.context("nothing came")??;
        Ok(bytes)
    }

    /// Says whether the other side closes the connection.
    pub async fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        let read = timeout(PATIENCE, self.stream.read(&mut byte)).await;
        matches!(read, Ok(Ok(0) | Err(_)))
    }
}

/// Writes a request to `/ROUTE/x`. `more` holds further headers, each with its line end.
pub fn request(route: &str, id: &str, key: &str, more: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: desk.example\r\nX-Nutmeggrade-Attempt-Id: {id}\r\n\
         X-Api-Key: {key}\r\n{more}Content-Length: 4\r\n\r\nbody"
    )
}
