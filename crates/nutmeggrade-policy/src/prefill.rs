//! How many prompt tokens an engine is given to read at a time.

use std::collections::BTreeMap;

use crate::Ticket;

/// Prompts sent to an engine whose first token has not come yet.
///
/// Answers long prompts that come together. An engine reads them in the same steps in which it makes
/// its neighbours' tokens; two at a time make each such step as long as a step can be, which every
/// stream on the engine shows as a stutter. One prompt at a time is read in one to a few steps with
/// plain steps between. A prompt longer than the limit goes alone.
#[derive(Debug, Clone, Default)]
pub struct PrefillPace {
    unread: BTreeMap<Ticket, u64>,
    sum: u64,
}

impl PrefillPace {
    /// Makes a pace with nothing unread.
    pub fn new() -> Self {
        Self::default()
    }

    /// Says whether a prompt may be sent now.
    pub fn allows(&self, prompt: u64, limit: u64) -> bool {
        self.sum == 0 || self.sum + prompt <= limit
    }

    /// Notes a prompt that was sent.
    pub fn sent(&mut self, ticket: Ticket, prompt: u64) {
        self.unread.insert(ticket, prompt);
        self.sum += prompt;
    }

    /// Notes that a prompt was read or given up.
    pub fn read(&mut self, ticket: Ticket) {
        if let Some(prompt) = self.unread.remove(&ticket) {
            self.sum -= prompt;
        }
    }
}
