//! How an answer that is passed on as it comes ended.

/// How an answer that is passed on as it comes ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The client has all of it.
    Finished,
    /// The client left or does not read.
    ClientGone,
    /// The time for the answer passed.
    Overdue,
    /// The endpoint broke it off.
    Broken,
}

impl End {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Finished => "finished",
            Self::ClientGone => "client_gone",
            Self::Overdue => "overdue",
            Self::Broken => "broken",
        }
    }
}
