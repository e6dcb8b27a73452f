//! Responses that never end.

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
