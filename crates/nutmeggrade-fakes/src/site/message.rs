//! HTTP messages, read byte by byte.

use std::collections::BTreeMap;

use anyhow::Context;
use tokio::io::{AsyncRead, AsyncReadExt};

const MAX_HEAD_BYTES: usize = 64 << 10;

/// An HTTP message: start line, headers and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// Start line: request line or status line.
    pub start_line: String,
    /// Headers by lower-case name.
    pub headers: BTreeMap<String, String>,
    /// Body, after decoding of chunks.
    pub body: Vec<u8>,
}

/// An HTTP response and whether it was complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Head and body, as far as received.
    pub message: Message,
    /// Whether the whole body was received.
    pub is_whole: bool,
}

impl Message {
    /// Reads a message head; `None` if the connection ends before a complete head.
    pub async fn read_head<R: AsyncRead + Unpin>(stream: &mut R) -> anyhow::Result<Option<Self>> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            anyhow::ensure!(head.len() < MAX_HEAD_BYTES, "head too large");
            let mut byte = [0];
            if stream.read(&mut byte).await.unwrap_or(0) == 0 {
                return Ok(None);
            }
            head.push(byte[0]);
        }
        let text = String::from_utf8(head).context("head")?;
        let mut lines = text.lines();
        let start_line = lines.next().unwrap_or_default().to_owned();
        let header = |l: &str| {
            let (name, value) = l.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        let headers = lines.filter_map(header).collect();
        Ok(Some(Self { start_line, headers, body: Vec::new() }))
    }

    /// Returns the value of a header, by lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the first two words of the start line: method and target, or protocol and status.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start_line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// Returns the length of the body that the head states.
    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length").and_then(|l| l.parse().ok())
    }

    /// Reads the body that the head announces; returns whether it was complete.
    pub async fn read_body<R: AsyncRead + Unpin>(&mut self, stream: &mut R) -> bool {
        if let Some(length) = self.content_length() {
            self.body = vec![0; length];
            return stream.read_exact(&mut self.body).await.is_ok();
        }
        if self.header("transfer-encoding").is_some_and(|t| t == "chunked") {
            return self.read_chunks(stream).await;
        }
        true
    }

    async fn read_chunks<R: AsyncRead + Unpin>(&mut self, stream: &mut R) -> bool {
        loop {
            let Some(line) = read_line(stream).await else { return false };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return false };
            let mut chunk = vec![0; size + 2];
            if stream.read_exact(&mut chunk).await.is_err() {
                return false;
            }
            if size == 0 {
                return true;
            }
            self.body.extend_from_slice(&chunk[..size]);
        }
    }
}

async fn read_line<R: AsyncRead + Unpin>(stream: &mut R) -> Option<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(line).ok()
}
