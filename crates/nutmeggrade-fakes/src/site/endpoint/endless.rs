//! Responses that never end.

use nutmeggrade_core::engine::{GenerateRequest, Token};
use tokio::net::TcpStream;

/// Repetitions of the part that are sent at a time.
const PARTS_PER_WRITE: usize = 256;

/// Sends the beginning of a response and then a part again and again, until the connection is closed.
pub(super) async fn send(
    stream: &mut TcpStream,
    beginning: &str,
    part: &str,
) -> anyhow::Result<()> {
    super::send(stream, beginning).await?;
    let parts = part.repeat(PARTS_PER_WRITE);
    loop {
        super::send(stream, &parts).await?;
    }
}

/// Sends the tokens of a generation, each of `size` bytes, until the connection is closed.
pub(super) async fn send_tokens(
    stream: &mut TcpStream,
    body: &[u8],
    size: usize,
) -> anyhow::Result<()> {
    let request: GenerateRequest = serde_json::from_slice(body)?;
    super::send(stream, "HTTP/1.1 200 -\r\nContent-Type: text/event-stream\r\n\r\n").await?;
    for offset in 0.. {
        let generation = request.generation;
        let token = Token { generation, offset, text: "x".repeat(size), finish: None };
        super::send(stream, &format!("data: {}\n\n", serde_json::to_string(&token)?)).await?;
    }
    Ok(())
}
