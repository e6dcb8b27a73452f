//! A connection whose buffers are accounted for.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use nutmeggrade_policy::intake::MemoryFull;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection_memory::ConnectionMemory;

/// A connection of a client that accounts for the heads it receives and for the responses that its
/// client doesn't read. It breaks when the memory is full.
#[derive(Debug)]
pub struct MeteredStream<S> {
    stream: S,
    memory: ConnectionMemory,
    is_blocked: bool,
}

impl<S> MeteredStream<S> {
    /// Wraps a connection.
    pub const fn new(stream: S, memory: ConnectionMemory) -> Self {
        Self { stream, memory, is_blocked: false }
    }

    /// Accounts for the outcome of a write of `offered` bytes.
    fn note_write<T>(
        &mut self,
        polled: Poll<io::Result<T>>,
        offered: usize,
    ) -> Poll<io::Result<T>> {
        if polled.is_pending() {
            self.is_blocked = true;
            if let Err(error) = self.memory.block_writes(offered) {
                return Poll::Ready(Err(full(error)));
            }
        } else if self.is_blocked {
            self.is_blocked = false;
            self.memory.unblock_writes();
        }
        polled
    }
}

fn full(error: MemoryFull) -> io::Error {
    io::Error::new(io::ErrorKind::OutOfMemory, error)
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let received = buf.filled().len() - before;
        if received > 0
            && let Err(error) = this.memory.receive(received)
        {
            return Poll::Ready(Err(full(error)));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.note_write(polled, buf.len())
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
        this.note_write(polled, bufs.iter().map(|b| b.len()).sum())
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
