//! The result of forwarding a response body to a client.

/// How forwarding a response body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransferEnd {
    /// The whole body was forwarded.
    Completed,
    /// The client closed its connection.
    ClientGone,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The endpoint ended the body early.
    UpstreamBroken,
}

impl TransferEnd {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Completed => "finished",
            Self::ClientGone => "client_gone",
            Self::DeadlinePassed => "overdue",
            Self::UpstreamBroken => "broken",
        }
    }
}
