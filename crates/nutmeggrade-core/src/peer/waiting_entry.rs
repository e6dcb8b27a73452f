//! Waiting and recent requests of one service and priority at an instance.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::ServiceId;

/// Least urgent priority; 0 is the most urgent.
pub const MAX_PRIORITY: u8 = 9;

/// Fields of an entry as they are sent, with times in milliseconds. They are sent without names,
/// which would be most of an entry's size.
type WireEntry = (ServiceId, u8, u32, u64, u64, u32, u32, u64, u64);

/// Waiting and recent requests of one service and priority at an instance.
///
/// Times are relative to the report, since the clocks of instances differ. For a service of plain
/// endpoints each request counts as one unit of memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "WireEntry", into = "WireEntry")]
pub struct WaitingEntry {
    /// The service.
    pub service: ServiceId,
    /// Priority, at most [`MAX_PRIORITY`].
    pub priority: u8,
    /// Number of waiting requests that can still end in time.
    pub count: u32,
    /// Memory that these requests will use, in tokens.
    pub memory: u64,
    /// Prompt tokens of these requests.
    pub prompt: u64,
    /// Age of the oldest of these requests.
    pub oldest: Duration,
    /// Time until the earliest start deadline of these requests.
    pub deadline: Duration,
    /// Memory of the requests that arrive per second, in tokens.
    pub rate: u64,
    /// Memory that placed requests of this priority hold now, in tokens.
    pub held: u64,
}

/// Error for an entry whose priority does not exist.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidEntry {
    /// The priority.
    pub priority: u8,
}

impl fmt::Display for InvalidEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "priority {} is above {MAX_PRIORITY}", self.priority)
    }
}

impl std::error::Error for InvalidEntry {}

impl TryFrom<WireEntry> for WaitingEntry {
    type Error = InvalidEntry;

    fn try_from(wire: WireEntry) -> Result<Self, InvalidEntry> {
        let (service, priority, count, memory, prompt, oldest, deadline, rate, held) = wire;
        if priority > MAX_PRIORITY {
            return Err(InvalidEntry { priority });
        }
        let [oldest, deadline] = [oldest, deadline].map(|ms| Duration::from_millis(ms.into()));
        // Memory without requests, or requests without memory, would distort the mean size.
        let memory = if count == 0 { 0 } else { memory.max(u64::from(count)) };
        let prompt = prompt.min(memory);
        Ok(Self { service, priority, count, memory, prompt, oldest, deadline, rate, held })
    }
}

impl From<WaitingEntry> for WireEntry {
    fn from(entry: WaitingEntry) -> Self {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        (
            entry.service,
            entry.priority,
            entry.count,
            entry.memory,
            entry.prompt,
            millis(entry.oldest),
            millis(entry.deadline),
            entry.rate,
            entry.held,
        )
    }
}
