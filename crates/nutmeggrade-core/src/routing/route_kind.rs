//! What may be repeated on a route.

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Answers are streams of events that run at most once.
    Streaming,
    /// Answers are streams of events that may go on at another endpoint.
    Resumable,
}

impl RouteKind {
    /// Says whether a request that may have run may be sent again.
    pub const fn repeats(self) -> bool {
        matches!(self, Self::Idempotent | Self::Resumable)
    }

    /// Says whether answers are streams of events.
    pub const fn streams(self) -> bool {
        matches!(self, Self::Streaming | Self::Resumable)
    }
}
