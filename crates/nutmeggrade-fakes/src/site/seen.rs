//! What an endpoint got.

use tokio::time::Instant;

use super::message::Message;

/// A request as an endpoint got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The message.
    pub message: Message,
    /// Whether the endpoint began to run it.
    pub ran: bool,
    /// When it came.
    pub at: Instant,
}

impl Seen {
    /// Says whether it goes on with a generation that began elsewhere.
    pub fn is_continued(&self) -> bool {
        self.message.header("kv-from").is_some()
    }

    /// Returns the id of the client's attempt.
    pub fn id(&self) -> &str {
        self.message.header("x-nutmeggrade-attempt-id").unwrap_or_default()
    }
}
