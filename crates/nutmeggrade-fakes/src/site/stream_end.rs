//! How a simulated endpoint ends a stream.

/// How a simulated endpoint ends a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// Sends the last chunk of a stream in chunks.
    LastChunk,
    /// Sends the last byte of a stream that declares its length.
    Length,
    /// Closes the connection of a stream that ends with it.
    Closed,
    /// Resets the connection of a stream that ends with it.
    Reset,
    /// Crashes: closes the connection of a stream that ends with it, and accepts no other.
    Crashed,
}

impl StreamEnd {
    /// Returns whether the stream is sent in chunks.
    pub const fn is_chunked(self) -> bool {
        matches!(self, Self::LastChunk)
    }
}
