//! Crashes of a simulated endpoint under a part of prompts.

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;

use super::{Endpoint, reset};
use crate::site::message::Message;

impl Endpoint {
    /// Simulates a crash: resets the endpoint's streams and stops accepting connections.
    pub fn kill(&self) {
        self.crashed.send_replace(true);
    }

    /// Crashes, and waits until it accepts no more connections.
    pub(super) async fn stop_listening(&self) -> anyhow::Result<()> {
        self.kill();
        self.listens.subscribe().wait_for(|listens| !listens).await?;
        Ok(())
    }

    /// Crashes, and ends the open connection in order.
    pub(super) async fn crash(&self) -> anyhow::Result<()> {
        self.stop_listening().await?;
        anyhow::bail!("crashed")
    }

    /// Returns whether it has crashed.
    pub fn is_dead(&self) -> bool {
        *self.crashed.borrow()
    }

    /// Makes it crash a while after it began to answer a request whose prompt contains this part.
    pub fn crash_on_part(&self, part: u64, delay: Duration) {
        self.state().crashing_part = Some((part, delay));
    }

    /// Returns how long after its beginning the answer to a request crashes it.
    pub(super) fn crash_delay(&self, request: &Message) -> Option<Duration> {
        let (part, delay) = self.state().crashing_part?;
        let prefix = request.header("x-nutmeggrade-prompt-prefix")?;
        let ids = prefix.split(',').filter_map(|p| p.split_once(':')).map(|(id, _)| id);
        ids.filter_map(|id| u64::from_str_radix(id, 16).ok()).any(|id| id == part).then_some(delay)
    }

    /// Begins a stream and crashes.
    pub(super) async fn crash_within_stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        delay: Duration,
    ) -> anyhow::Result<()> {
        let writer = self.start_stream(stream, id, true).await?;
        sleep(delay).await;
        self.stop_listening().await?;
        reset(writer.connection())
    }
}
