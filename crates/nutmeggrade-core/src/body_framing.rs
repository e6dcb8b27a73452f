//! How an HTTP response states where its body ends.

/// How an HTTP response states where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// Its length is declared.
    Length,
    /// It comes in chunks, the last of which is marked.
    Chunked,
    /// It ends with its connection.
    Connection,
}

impl BodyFraming {
    /// Returns whether the response states where its body ends, other than by closing the
    /// connection.
    pub const fn is_declared(self) -> bool {
        !matches!(self, Self::Connection)
    }

    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}
