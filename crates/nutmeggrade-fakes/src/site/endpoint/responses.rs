//! Responses of a simulated endpoint.

use anyhow::Context;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::Endpoint;

const SIGNATURE_HEADER: &str = "X-Nutmeggrade-Server-Signature";

impl Endpoint {
    pub(super) fn response(&self, status: u16, id: &str, headers: &str, body: &str) -> String {
        let notices = self.notices().headers(id);
        format!(
            "HTTP/1.1 {status} -\r\nX-Nutmeggrade-Attempt-Id: {id}\r\n{SIGNATURE_HEADER}: by.{}\r\n\
             {notices}{headers}\r\n{body}",
            self.id
        )
    }

    /// Sends a response without a body or an attempt id.
    pub(super) async fn send_empty(
        &self,
        stream: &mut TcpStream,
        status: u16,
        headers: &str,
    ) -> anyhow::Result<()> {
        send(stream, &format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: 0\r\n\r\n")).await
    }
}

/// Waits until the instance closes the connection.
pub(super) async fn until_closed(stream: &mut TcpStream) -> anyhow::Result<()> {
    let mut byte = [0];
    drop(stream.read(&mut byte).await);
    anyhow::bail!("closed by the instance")
}

pub(super) async fn send(stream: &mut TcpStream, text: &str) -> anyhow::Result<()> {
    stream.write_all(text.as_bytes()).await.context("send")
}

pub(super) async fn send_json(
    stream: &mut TcpStream,
    status: u16,
    body: &Value,
) -> anyhow::Result<()> {
    let body = body.to_string();
    let head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n\r\n", body.len());
    send(stream, &(head + &body)).await
}
