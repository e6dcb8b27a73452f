//! Records the bytes of request heads, and whether responses wait for their client.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use nutmeggrade_platform::WatchedStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection_state::ConnectionState;
use crate::clock::Clock;
use crate::tables::lock;

/// A client's connection that records the bytes of request heads, and whether responses wait for the client.
///
/// A head may contain both `Content-Length` and `Transfer-Encoding: chunked`. hyper then drops the
/// length and reads chunks, while a proxy in front of this process may have used the length. One of
/// them takes for the body what the other takes for a further, unauthorized request, so endpoints
/// would receive requests that no client sent. The dropped header is visible only in the recorded
/// bytes.
#[derive(Debug)]
pub struct HeadRecorder {
    stream: WatchedStream,
    state: Arc<Mutex<ConnectionState>>,
    clock: Clock,
}

impl HeadRecorder {
    /// Wraps a connection.
    pub fn new(stream: WatchedStream, state: Arc<Mutex<ConnectionState>>, clock: Clock) -> Self {
        Self { stream, state, clock }
    }
}

impl AsyncRead for HeadRecorder {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        if polled.is_ready() {
            lock(&this.state).record(&buf.filled()[before..], this.clock.now());
        }
        polled
    }
}

impl AsyncWrite for HeadRecorder {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        lock(&this.state).note_write(polled.is_pending(), this.clock.now());
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        lock(&this.state).note_write(polled.is_pending(), this.clock.now());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
