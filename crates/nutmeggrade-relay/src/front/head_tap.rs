//! Keeps the bytes of request heads.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::tap_state::TapState;
use crate::clock::Clock;
use crate::tables::lock;

/// A client's connection that keeps the bytes of request heads.
///
/// A head may name both a length and a chunked body. The library then drops the length and reads
/// chunks, while whoever is between the client and this process may have gone by the length; what one
/// of them takes for the body the other takes for a further request, which nobody authorised. One
/// would notice requests at endpoints that no client sent. The dropped header shows only in the
/// bytes.
#[derive(Debug)]
pub struct HeadTap {
    stream: TcpStream,
    state: Arc<Mutex<TapState>>,
    clock: Clock,
}

impl HeadTap {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, state: Arc<Mutex<TapState>>, clock: Clock) -> Self {
        Self { stream, state, clock }
    }
}

impl AsyncRead for HeadTap {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        if polled.is_ready() {
            lock(&this.state).read(&buf.filled()[before..], this.clock.now());
        }
        polled
    }
}

impl AsyncWrite for HeadTap {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(cx, buf)
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
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
