//! Kinds of routes.

use serde::{Deserialize, Serialize};

/// Whether a route's requests may be repeated, and whether its responses are streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Requests run at most once; responses are event streams.
    Streaming,
    /// Responses are event streams that can be resumed at another endpoint.
    Resumable,
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Returns whether responses are event streams.
    pub const fn is_streaming(self) -> bool {
        matches!(self, Self::Streaming | Self::Resumable)
    }
}
