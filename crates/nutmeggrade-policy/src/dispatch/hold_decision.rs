//! Decisions about leases.

use std::time::Duration;

/// What to do with a placed request before it is sent to its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldDecision {
    /// Send it without a lease.
    Send,
    /// Request a lease of this length first.
    Take(Duration),
    /// Decide again once the engine has answered another request's call for a lease.
    Wait,
    /// Place it elsewhere: the engine was full a moment ago.
    Full,
}
