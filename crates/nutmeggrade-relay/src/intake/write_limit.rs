//! A connection with a write timeout.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// A connection whose writes fail after its peer has read no byte for a given time.
///
/// A caller that stops reading fills the socket's buffer. Its response is then no longer polled, so
/// no deadline of the response is checked, and the connection, its buffers and its slot on an
/// engine stay occupied forever; this shows as open streams without tokens. The timer starts with
/// the first write that finds the buffer full, and its expiry closes the connection.
#[derive(Debug)]
pub struct WriteLimit<S> {
    inner: S,
    max_stall: Duration,
    stall_timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteLimit<S> {
    /// Wraps a connection; `max_stall` is the maximum time in which no byte is read.
    pub const fn new(inner: S, max_stall: Duration) -> Self {
        Self { inner, max_stall, stall_timer: None }
    }

    fn check_stall<T>(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.stall_timer = None;
            return polled;
        }
        let max_stall = self.max_stall;
        let stall_timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(max_stall)));
        ready!(stall_timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteLimit<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteLimit<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.check_stall(cx, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.check_stall(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
