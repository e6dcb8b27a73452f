//! Decisions about requests, and how requests end.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Identifies a request within an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Decision about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Start it on this engine.
    Go {
        /// Chosen engine.
        endpoint: EndpointId,
        /// Preemption priority; higher is preempted later.
        priority: i32,
    },
    /// Keep it in the queue until [`crate::Scheduler::release`] decides.
    Wait,
    /// Refuse it with a retry delay.
    Refuse {
        /// Result code.
        code: Code,
        /// Time after which the client may retry.
        retry_after: Duration,
    },
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The response is complete.
    Finished,
    /// The engine failed.
    Failed,
    /// The client disconnected or the deadline passed.
    Cancelled,
}
