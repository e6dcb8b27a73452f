//! Limit of pending prompt tokens on an engine.

use std::collections::BTreeMap;

use crate::Ticket;

/// Prompts sent to an engine whose first token has not arrived.
///
/// An engine reads prompts in the same steps in which it decodes other streams. Two long prompts at
/// a time make each step as long as a step can be, which stalls every stream on the engine. One
/// prompt at a time takes one to a few steps, with plain decoding steps between. A prompt longer
/// than the limit is sent only when no other is pending.
#[derive(Debug, Clone, Default)]
pub struct PrefillLimit {
    pending: BTreeMap<Ticket, u64>,
    pending_tokens: u64,
}

impl PrefillLimit {
    /// Creates a limit without pending prompts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether a prompt may be sent.
    pub fn allows(&self, prompt: u64, limit: u64) -> bool {
        self.pending_tokens == 0 || self.pending_tokens + prompt <= limit
    }

    /// Records a prompt that was sent.
    pub fn record_sent(&mut self, ticket: Ticket, prompt: u64) {
        self.pending.insert(ticket, prompt);
        self.pending_tokens += prompt;
    }

    /// Records that a prompt was read or given up.
    pub fn record_read(&mut self, ticket: Ticket) {
        if let Some(prompt) = self.pending.remove(&ticket) {
            self.pending_tokens -= prompt;
        }
    }
}
