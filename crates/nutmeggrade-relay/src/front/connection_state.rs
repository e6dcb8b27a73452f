//! The state of a client's connection, shared by the socket and the response bodies.

use std::time::Duration;

use bytes::BytesMut;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::CallLimits;

/// The state of a client's connection.
#[derive(Debug)]
pub struct ConnectionState {
    /// Bytes received since the last response, up to the maximum size of a head.
    head_bytes: BytesMut,
    max_bytes: usize,
    idle_since: Moment,
    head_since: Option<Moment>,
    is_busy: bool,
}

impl ConnectionState {
    /// Creates the state of a new connection.
    pub fn new(limits: &CallLimits, now: Moment) -> Self {
        Self {
            head_bytes: BytesMut::new(),
            max_bytes: limits.head_bytes,
            idle_since: now,
            head_since: None,
            is_busy: false,
        }
    }

    /// Records received bytes, unless a request is being served.
    pub fn record(&mut self, bytes: &[u8], now: Moment) {
        if self.is_busy || bytes.is_empty() {
            return;
        }
        self.head_since.get_or_insert(now);
        let room = self.max_bytes.saturating_sub(self.head_bytes.len());
        self.head_bytes.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Marks the head as complete and returns the bytes received since the last response.
    pub fn start_request(&mut self) -> BytesMut {
        self.is_busy = true;
        self.head_since = None;
        std::mem::take(&mut self.head_bytes)
    }

    /// Marks the response as finished.
    pub fn finish_response(&mut self, now: Moment) {
        self.is_busy = false;
        self.idle_since = now;
    }

    /// Returns whether the timeout for a head or for an idle connection has passed.
    pub fn is_timed_out(&self, limits: &CallLimits, now: Moment) -> bool {
        let has_passed = |since: Moment, timeout: Duration| now.since(since) >= timeout;
        match (self.is_busy, self.head_since) {
            (true, _) => false,
            (false, Some(since)) => has_passed(since, limits.head_timeout),
            (false, None) => has_passed(self.idle_since, limits.idle_timeout),
        }
    }
}
