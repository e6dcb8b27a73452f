//! Reads the bodies of clients' requests.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use nutmeggrade_core::prelude::*;
use nutmeggrade_policy::intake::MemoryFull;
use tokio::time::{sleep, timeout};

use super::body_buffer::BodyBuffer;
use super::connection_memory::ConnectionMemory;

/// Time for which the rest of a refused body is read. A connection that is closed before resets, and
/// its client may lose the refusal.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a body was not read.
#[derive(Debug)]
pub enum BodyError {
    /// The body is larger than allowed.
    TooLarge,
    /// The memory is full.
    MemoryFull,
    /// The body was not complete in time.
    TimedOut,
    /// The connection broke or the framing is invalid.
    Broken(String),
}

impl BodyError {
    /// Returns the result code of a request that is refused for this.
    pub const fn code(&self) -> Code {
        match self {
            Self::TooLarge => Code::BodyTooLarge,
            Self::MemoryFull => Code::MemoryFull,
            Self::TimedOut => Code::BodyTimeout,
            Self::Broken(_) => Code::BadFraming,
        }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the body is larger than the limit"),
            Self::MemoryFull => write!(f, "{MemoryFull}"),
            Self::TimedOut => f.write_str("the body did not come in time"),
            Self::Broken(reason) => write!(f, "body: {reason}"),
        }
    }
}

impl std::error::Error for BodyError {}

impl From<MemoryFull> for BodyError {
    fn from(MemoryFull: MemoryFull) -> Self {
        Self::MemoryFull
    }
}

/// Reads a body of at most `max_bytes` within a time. The rest of a body that is refused is dropped in the
/// background.
///
/// # Errors
///
/// Fails if the body is too large, too late or breaks off, or if the memory is full.
pub async fn read_body<B>(
    mut body: B,
    max_bytes: usize,
    time: Duration,
    memory: &ConnectionMemory,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: fmt::Display> + Send + Unpin + 'static,
{
    memory.begin_body();
    let result = tokio::select! {
        biased;
        result = read_within(&mut body, max_bytes, memory) => result,
        () = memory.given_up() => Err(BodyError::MemoryFull),
        () = sleep(time) => Err(BodyError::TimedOut),
    };
    match &result {
        Ok(_) => memory.begin_response(),
        Err(BodyError::Broken(_)) => {}
        Err(BodyError::TooLarge | BodyError::MemoryFull | BodyError::TimedOut) => {
            discard_body(body, max_bytes, memory);
        }
    }
    result
}

/// Drops the rest of a body in the background as it is received, up to `max_bytes`. The response has to
/// close the connection.
pub fn discard_body<B>(body: B, max_bytes: usize, memory: &ConnectionMemory)
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    memory.begin_discard();
    tokio::spawn(discard(body, max_bytes));
}

async fn read_within<B>(
    body: &mut B,
    max_bytes: usize,
    memory: &ConnectionMemory,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: fmt::Display> + Unpin,
{
    let announced = body.size_hint().exact().map(|n| usize::try_from(n).unwrap_or(usize::MAX));
    if announced.is_some_and(|length| length > max_bytes) {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BodyBuffer::new(memory, max_bytes, "body");
    if let Some(length) = announced {
        buffer.reserve(length)?;
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken(e.to_string()))?;
        // Trailers are not part of the body.
        let Ok(part) = frame.into_data() else { continue };
        if !buffer.fits(part.len()) {
            return Err(BodyError::TooLarge);
        }
        buffer.push(&part)?;
    }
    buffer.into_bytes().or(Err(BodyError::MemoryFull))
}

async fn discard<B: Body<Data = Bytes> + Unpin>(mut body: B, max_bytes: usize) {
    let mut left = max_bytes;
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else { return };
            left = rest;
        }
    };
    // A client that takes longer doesn't wait for the refusal.
    drop(timeout(DISCARD_TIMEOUT, read).await);
}
