//! Writes the body of an event stream.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use anyhow::Context;

/// Returns an event whose data begins with `label`.
pub fn event_text(label: &str, event: u64) -> String {
    format!("id: {event}\ndata: {label}.{event}\n\n")
}

/// Writes the body of an event stream, in chunks or ended by its connection.
#[derive(Debug)]
pub struct EventWriter<'a> {
    stream: &'a mut TcpStream,
    is_chunked: bool,
}

impl<'a> EventWriter<'a> {
    /// Creates a writer for a response whose head is still to be sent.
    pub const fn new(stream: &'a mut TcpStream, is_chunked: bool) -> Self {
        Self { stream, is_chunked }
    }

    /// Returns the header lines that state the type and the framing of the body.
    pub const fn headers(&self) -> &'static str {
        if self.is_chunked {
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        } else {
            "Content-Type: text/event-stream\r\nConnection: close\r\n"
        }
    }

    /// Sends the head of the response.
    pub async fn send_head(&mut self, head: &str) -> anyhow::Result<()> {
        self.send_raw(head).await
    }

    /// Sends an event whose data begins with `label`.
    pub async fn send_event(&mut self, label: &str, event: u64) -> anyhow::Result<()> {
        self.send_text(&event_text(label, event)).await
    }

    /// Sends a part of the body.
    pub async fn send_text(&mut self, text: &str) -> anyhow::Result<()> {
        if text.is_empty() {
            return Ok(());
        }
        if self.is_chunked {
            return self.send_raw(&format!("{:x}\r\n{text}\r\n", text.len())).await;
        }
        self.send_raw(text).await
    }

    /// Marks the end of the body, unless its connection does.
    ///
    /// # Errors
    ///
    /// A body that ends with its connection fails here, so that the caller closes it.
    pub async fn finish(&mut self) -> anyhow::Result<()> {
        anyhow::ensure!(self.is_chunked, "closed to end the response");
        self.send_raw("0\r\n\r\n").await
    }

    async fn send_raw(&mut self, text: &str) -> anyhow::Result<()> {
        self.stream.write_all(text.as_bytes()).await.context("send")
    }

    /// Returns the connection.
    pub const fn connection(&self) -> &TcpStream {
        self.stream
    }
}
