//! A connection that fails once its peer is gone or reads nothing.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::backlog::Backlog;
use crate::transmission::Transmission;

/// Longest interval between two checks of a connection with pending bytes.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A connection that fails once its peer acknowledges nothing any more.
///
/// The kernel gives up such a connection only after many minutes. Its option `TCP_USER_TIMEOUT` also
/// ends a connection whose peer reads slowly: the time counts while the window is closed, whatever the
/// peer acknowledges.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    backlog: Backlog,
    max_stall: Option<Duration>,
    /// Runs while bytes are pending.
    timer: Option<Pin<Box<Sleep>>>,
    pending_since: Instant,
    /// Since when a write waits for the peer to read.
    blocked_since: Option<Instant>,
    acked_bytes: u64,
    acked_at: Instant,
}

impl WatchedStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        let now = Instant::now();
        Self {
            stream,
            backlog: Backlog::default(),
            max_stall: None,
            timer: None,
            pending_since: now,
            blocked_since: None,
            acked_bytes: 0,
            acked_at: now,
        }
    }

    /// Makes it fail too once a write waits and the peer has read nothing for `max_stall`.
    ///
    /// A peer that stops reading otherwise occupies the connection and what is held for it for as long
    /// as its kernel answers.
    #[must_use]
    pub const fn with_max_stall(mut self, max_stall: Duration) -> Self {
        self.max_stall = Some(max_stall);
        self
    }

    /// Returns what the peer still has to read, now and later.
    pub fn backlog(&self) -> Backlog {
        self.backlog.clone()
    }

    fn check_interval(&self) -> Duration {
        self.max_stall.map_or(MAX_CHECK_INTERVAL, |max| MAX_CHECK_INTERVAL.min(max / 2))
    }

    /// Starts to watch the bytes that a write has left pending.
    fn note_write(&mut self, is_blocked: bool, cx: &mut Context<'_>) -> io::Result<()> {
        let now = Instant::now();
        if !is_blocked {
            self.blocked_since = None;
        } else if self.blocked_since.is_none() {
            self.blocked_since = Some(now);
            self.backlog.set(true);
        }
        if self.timer.is_none() {
            self.pending_since = now;
            self.timer = Some(Box::pin(sleep(self.check_interval())));
            return self.check(cx);
        }
        Ok(())
    }

    /// Checks the pending bytes if a check is due.
    ///
    /// # Errors
    ///
    /// Fails if the peer is gone or has stopped reading.
    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let interval = self.check_interval();
        while let Some(timer) = &mut self.timer
            && timer.as_mut().poll(cx).is_ready()
        {
            let now = Instant::now();
            timer.as_mut().reset(now + interval);
            self.check_peer(now)?;
        }
        Ok(())
    }

    fn check_peer(&mut self, now: Instant) -> io::Result<()> {
        // Without the kernel's knowledge, only the time for which a write has waited counts.
        let transmission = Transmission::of(&self.stream).unwrap_or_default();
        if transmission.acked_bytes > self.acked_bytes {
            self.acked_bytes = transmission.acked_bytes;
            self.acked_at = now;
        }
        if transmission.is_peer_gone(now - self.pending_since) {
            return Err(timed_out("the peer acknowledges nothing"));
        }
        self.backlog.set(transmission.is_pending() && transmission.is_answered());
        let Some(blocked_since) = self.blocked_since else {
            if !transmission.is_pending() {
                self.timer = None;
            }
            return Ok(());
        };
        let stalled_since = blocked_since.max(self.acked_at);
        if self.max_stall.is_some_and(|max_stall| now - stalled_since >= max_stall) {
            return Err(timed_out("the peer reads nothing"));
        }
        Ok(())
    }
}

fn timed_out(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, reason)
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.check(cx)?;
        Pin::new(&mut this.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.check(cx)?;
        let polled = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.note_write(polled.is_pending(), cx)?;
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        this.check(cx)?;
        Pin::new(&mut this.stream).poll_flush(cx)
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
        this.check(cx)?;
        let polled = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.note_write(polled.is_pending(), cx)?;
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
