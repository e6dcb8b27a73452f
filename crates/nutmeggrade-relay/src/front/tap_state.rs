//! Where a client's connection stands.

use std::time::Duration;

use bytes::BytesMut;
use nutmeggrade_core::prelude::*;
use nutmeggrade_core::routing::CallLimits;

/// Where a client's connection stands.
#[derive(Debug)]
pub struct TapState {
    /// Bytes that came since the last answer, at most as many as a head may have.
    record: BytesMut,
    most: usize,
    idle_since: Moment,
    head_since: Option<Moment>,
    busy: bool,
}

impl TapState {
    /// Makes the state of a fresh connection.
    pub fn new(limits: &CallLimits, now: Moment) -> Self {
        Self {
            record: BytesMut::new(),
            most: limits.head_bytes,
            idle_since: now,
            head_since: None,
            busy: false,
        }
    }

    /// Notes bytes that came.
    pub fn read(&mut self, bytes: &[u8], now: Moment) {
        if self.busy || bytes.is_empty() {
            return;
        }
        self.head_since.get_or_insert(now);
        let room = self.most.saturating_sub(self.record.len());
        self.record.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// Notes that a head is complete; returns the bytes that came since the last answer.
    pub fn start(&mut self) -> BytesMut {
        self.busy = true;
        self.head_since = None;
        std::mem::take(&mut self.record)
    }

    /// Notes that the answer is over.
    pub fn end(&mut self, now: Moment) {
        self.busy = false;
        self.idle_since = now;
    }

    /// Says whether the client took too long over a head, or was idle for too long.
    pub fn is_overdue(&self, limits: &CallLimits, now: Moment) -> bool {
        let waited = |since: Moment, most: Duration| now.since(since) >= most;
        match (self.busy, self.head_since) {
            (true, _) => false,
            (false, Some(since)) => waited(since, limits.head_timeout),
            (false, None) => waited(self.idle_since, limits.idle_timeout),
        }
    }
}
