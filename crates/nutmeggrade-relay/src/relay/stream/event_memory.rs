//! The memory of an event that has not arrived completely.

use nutmeggrade_platform::READ_AHEAD_BYTES;

use crate::intake::ConnectionMemory;

/// Bytes of an event that need no account, and the steps in which larger ones are accounted for.
const STEP_BYTES: usize = 16 << 10;
/// Memory of each byte of an event: the buffer doubles when it grows, and is copied then.
const BUFFER_FACTOR: usize = 3;

/// Account of an event that is buffered until it is complete, or until the client takes it.
#[derive(Debug, Default)]
pub struct EventMemory {
    held: usize,
}

impl EventMemory {
    /// Accounts for `bytes` of an event; returns whether the client's connection may hold them.
    pub fn set(&mut self, memory: &ConnectionMemory, bytes: usize) -> bool {
        let steps = bytes / STEP_BYTES;
        let read_ahead = if steps > 0 { READ_AHEAD_BYTES } else { 0 };
        let needed = steps * STEP_BYTES * BUFFER_FACTOR + read_ahead;
        if needed > self.held && memory.grow(needed - self.held, "event").is_err() {
            return false;
        }
        if needed < self.held {
            memory.shrink(self.held - needed);
        }
        self.held = needed;
        true
    }
}
