//! A connection on which the bytes that belong to no body are limited.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::watched_stream::WatchedStream;

/// Bytes that may arrive without a piece of a body: more than the HTTP client reads ahead of the body,
/// and much more than any head.
const MAX_BYTES_WITHOUT_BODY: u64 = 1 << 20;

/// Count of the bytes received since the last piece of a body.
#[derive(Debug, Clone, Default)]
pub struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// Records that a piece of a body was received.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Adds received bytes; returns whether there are too many.
    fn add(&self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes > MAX_BYTES_WITHOUT_BODY
    }
}

/// A connection that fails once too many bytes arrive that belong to no body.
///
/// A faulty endpoint may send interim responses or parts of a chunk's size without end. The HTTP client
/// drops them, so that neither a limit on the head nor one on the body applies.
#[derive(Debug)]
pub struct LimitedStream {
    stream: WatchedStream,
    received: ReceivedBytes,
}

impl LimitedStream {
    /// Wraps a connection on which nothing was received yet.
    pub fn new(stream: WatchedStream) -> Self {
        Self { stream, received: ReceivedBytes::default() }
    }

    /// Returns the count of received bytes, to be reset with each piece of a body.
    pub fn received(&self) -> ReceivedBytes {
        self.received.clone()
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if self.received.add(buf.filled().len() - before) {
            let error = "the endpoint sends bytes without end that are not part of a body";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
