//! The memory that one connection holds.

use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Received bytes that count as progress. A client that sends single bytes stalls like one that sends
/// nothing.
const PROGRESS_BYTES: usize = 16 << 10;

/// Identifies a connection in the accounts of memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(pub(super) u64);

/// Identifies the listener that accepted a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerId(pub(super) u32);

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Wait {
    /// The client's next request, since a moment.
    Idle(Moment),
    /// The rest of a request that the client has begun to send, since its last progress.
    Request(Moment),
    /// An endpoint: the request was received.
    Response,
}

/// The memory that one connection holds, and what it waits for.
#[derive(Debug)]
pub struct Holder {
    /// Bytes that the connection holds.
    pub bytes: usize,
    /// The listener that accepted it.
    pub listener: ListenerId,
    wait: Wait,
    unreported: usize,
}

impl Holder {
    /// Creates the entry of a new connection.
    pub const fn new(listener: ListenerId, bytes: usize, now: Moment) -> Self {
        Self { bytes, listener, wait: Wait::Idle(now), unreported: 0 }
    }

    /// Records that the client has begun a request, or a further part of it.
    pub const fn begin_request(&mut self, now: Moment) {
        self.wait = Wait::Request(now);
        self.unreported = 0;
    }

    /// Records received bytes of a request.
    pub fn receive(&mut self, bytes: usize, now: Moment) {
        match self.wait {
            Wait::Idle(_) => self.begin_request(now),
            Wait::Request(_) if self.unreported + bytes >= PROGRESS_BYTES => {
                self.begin_request(now);
            }
            Wait::Request(_) => self.unreported += bytes,
            Wait::Response => {}
        }
    }

    /// Records that the request was received.
    pub const fn begin_response(&mut self) {
        self.wait = Wait::Response;
    }

    /// Records that the response has ended.
    pub const fn end_response(&mut self, now: Moment) {
        self.wait = Wait::Idle(now);
    }

    /// Returns for how long an incomplete request has made no progress.
    pub fn request_stall(&self, now: Moment) -> Option<Duration> {
        match self.wait {
            Wait::Request(since) => Some(now.since(since)),
            Wait::Idle(_) | Wait::Response => None,
        }
    }

    /// Returns for how long the connection has waited for its client.
    pub fn client_wait(&self, now: Moment) -> Option<Duration> {
        match self.wait {
            Wait::Idle(since) | Wait::Request(since) => Some(now.since(since)),
            Wait::Response => None,
        }
    }
}
