//! What an endpoint got.

use super::message::Message;

/// A request as an endpoint got it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// The message.
    pub message: Message,
    /// Whether the endpoint began to run it.
    pub ran: bool,
}

impl Seen {
    /// Returns the id of the client's attempt.
    pub fn id(&self) -> &str {
        self.message.header("x-nutmeggrade-attempt-id").unwrap_or_default()
    }
}
