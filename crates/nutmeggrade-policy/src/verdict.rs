//! What is decided about a request.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Names one request inside one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What is decided about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Start it on this engine.
    Go {
        /// The engine.
        endpoint: EndpointId,
        /// Higher is preempted later.
        priority: i32,
    },
    /// It waits; a later [`crate::Scheduler::release`] decides.
    Wait,
    /// Refuse it, and say when to come back.
    Refuse {
        /// The numbered code.
        code: Code,
        /// When to come back.
        retry_after: Duration,
    },
}

/// How a request that was let in ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Finished,
    /// The engine failed.
    Failed,
    /// The caller left or the deadline passed.
    Cancelled,
}
