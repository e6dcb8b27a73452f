//! Requests received by simulated endpoints.

use tokio::time::Instant;

use super::message::Message;

/// A request that an endpoint received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// Request head and body.
    pub message: Message,
    /// Whether the endpoint started to execute it.
    pub ran: bool,
    /// Whether it was rejected because it was meant for another endpoint.
    pub is_misdirected: bool,
    /// When it was received.
    pub at: Instant,
    /// When it stopped working on it; `None` while it works on it.
    pub ended: Option<Instant>,
}

impl ReceivedRequest {
    /// Returns whether the request continues a generation from another endpoint's copy.
    pub fn is_continued(&self) -> bool {
        self.message.header("kv-from").is_some()
    }

    /// Returns the client's attempt id.
    pub fn id(&self) -> &str {
        self.message.header("x-nutmeggrade-attempt-id").unwrap_or_default()
    }
}
