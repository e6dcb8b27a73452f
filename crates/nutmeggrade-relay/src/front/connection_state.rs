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
    /// Since when the client has read nothing of what waits for it.
    blocked_since: Option<Moment>,
    /// Until when the client waits for its response.
    deadline: Option<Moment>,
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
            blocked_since: None,
            deadline: None,
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

    /// Sets until when the client waits for the response.
    pub fn begin_response(&mut self, deadline: Option<Moment>) {
        self.deadline = deadline;
    }

    /// Records a write, and whether it waits for the client to read.
    pub fn note_write(&mut self, is_blocked: bool, now: Moment) {
        if is_blocked {
            self.blocked_since.get_or_insert(now);
        } else if self.blocked_since.take().is_some() {
            self.idle_since = now;
        }
    }

    /// Marks the response as finished.
    pub fn finish_response(&mut self, now: Moment) {
        self.is_busy = false;
        self.idle_since = now;
    }

    /// Returns whether the timeout for a head, for an idle connection or for an unread response has passed.
    ///
    /// A response may be finished while a part of it still waits for a client that reads slowly. It is given
    /// up only once its client waits for it no longer and doesn't read either.
    pub fn is_timed_out(&self, limits: &CallLimits, now: Moment) -> bool {
        let has_passed = |since: Moment, timeout: Duration| now.since(since) >= timeout;
        if let Some(since) = self.blocked_since {
            let is_awaited = self.deadline.is_some_and(|deadline| now < deadline);
            return !is_awaited && has_passed(since, limits.idle_timeout);
        }
        match (self.is_busy, self.head_since) {
            (true, _) => false,
            (false, Some(since)) => has_passed(since, limits.head_timeout),
            (false, None) => has_passed(self.idle_since, limits.idle_timeout),
        }
    }
}
