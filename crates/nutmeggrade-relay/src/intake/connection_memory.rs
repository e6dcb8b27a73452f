//! The memory that one connection of a client holds.

use std::sync::{Arc, Mutex};

use nutmeggrade_platform::READ_AHEAD_BYTES;
use nutmeggrade_policy::intake::{HolderId, MemoryFull};
use tokio::sync::watch;

use super::memory_budget::MemoryBudget;
use super::socket::{RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES};
use crate::tables::lock;

/// Memory of each byte of a head: the buffer that it was read into, and the parsed headers or a copy.
const HEAD_FACTOR: usize = 2;
/// Parts of a response that wait behind a socket that takes no more.
pub const RESPONSE_QUEUE_BYTES: usize = 64 << 10;

/// What the bytes that a connection receives belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Head,
    Body,
    Response,
    /// The rest of a body that is read and dropped, after which the connection closes.
    Discard,
}

/// Bytes that a connection holds, by purpose.
#[derive(Debug)]
struct Held {
    phase: Phase,
    /// Released when the response has ended.
    request: usize,
    /// Released when the socket takes bytes again.
    unsent: usize,
    has_read_ahead: bool,
}

#[derive(Debug)]
struct Connection {
    budget: Arc<MemoryBudget>,
    id: HolderId,
    given_up: watch::Receiver<bool>,
    held: Mutex<Held>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.budget.close(self.id);
    }
}

/// The memory that one connection of a client holds; released when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct ConnectionMemory(Arc<Connection>);

impl ConnectionMemory {
    /// Creates the account of a connection.
    pub(super) fn new(
        budget: &Arc<MemoryBudget>,
        id: HolderId,
        given_up: watch::Receiver<bool>,
    ) -> Self {
        let held = Held { phase: Phase::Head, request: 0, unsent: 0, has_read_ahead: false };
        let budget = Arc::clone(budget);
        Self(Arc::new(Connection { budget, id, given_up, held: Mutex::new(held) }))
    }

    /// Accounts for bytes that the connection has received.
    ///
    /// # Errors
    ///
    /// Fails if the memory is full.
    pub fn receive(&self, bytes: usize) -> Result<(), MemoryFull> {
        let Connection { budget, id, .. } = &*self.0;
        let mut held = lock(&self.0.held);
        match held.phase {
            Phase::Head => {
                budget.receive(*id, bytes);
                let bytes = bytes * HEAD_FACTOR;
                budget.grow(*id, bytes, "head")?;
                held.request += bytes;
            }
            Phase::Body => budget.receive(*id, bytes),
            // The client sends its next request before it has this one's response. More of it fills
            // the socket's buffer.
            Phase::Response if !held.has_read_ahead && bytes > 0 => {
                budget.grow(*id, RECEIVE_BUFFER_BYTES, "head")?;
                held.request += RECEIVE_BUFFER_BYTES;
                held.has_read_ahead = true;
            }
            Phase::Response | Phase::Discard => {}
        }
        Ok(())
    }

    /// Accounts for a socket that takes no more bytes, of which `queued` wait.
    ///
    /// # Errors
    ///
    /// Fails if the memory is full.
    pub fn block_writes(&self, queued: usize) -> Result<(), MemoryFull> {
        let mut held = lock(&self.0.held);
        let unsent = SEND_BUFFER_BYTES + RESPONSE_QUEUE_BYTES + READ_AHEAD_BYTES + queued;
        if unsent > held.unsent {
            self.0.budget.grow(self.0.id, unsent - held.unsent, "response")?;
            held.unsent = unsent;
        }
        Ok(())
    }

    /// Accounts for a socket that takes bytes again.
    pub fn unblock_writes(&self) {
        let mut held = lock(&self.0.held);
        if held.unsent > 0 {
            self.0.budget.shrink(self.0.id, std::mem::take(&mut held.unsent));
        }
    }

    /// Records that the head of a request was received, and that its body follows.
    pub fn begin_body(&self) {
        lock(&self.0.held).phase = Phase::Body;
        self.0.budget.begin_body(self.0.id);
    }

    /// Records that a request was received.
    pub fn begin_response(&self) {
        lock(&self.0.held).phase = Phase::Response;
        self.0.budget.begin_response(self.0.id);
    }

    /// Records that the rest of the request's body is dropped as it is received.
    pub fn begin_discard(&self) {
        lock(&self.0.held).phase = Phase::Discard;
    }

    /// Releases what was held for a request whose response has ended.
    pub fn end_response(&self) {
        let mut held = lock(&self.0.held);
        if held.phase != Phase::Discard {
            held.phase = Phase::Head;
        }
        held.has_read_ahead = false;
        self.0.budget.end_response(self.0.id, std::mem::take(&mut held.request));
    }

    /// Adds bytes to what is held for the current request.
    ///
    /// # Errors
    ///
    /// Fails if the memory is full.
    pub fn grow(&self, bytes: usize, purpose: &str) -> Result<(), MemoryFull> {
        let mut held = lock(&self.0.held);
        self.0.budget.grow(self.0.id, bytes, purpose)?;
        held.request += bytes;
        Ok(())
    }

    /// Subtracts bytes from what is held for the current request.
    pub fn shrink(&self, bytes: usize) {
        let mut held = lock(&self.0.held);
        let bytes = bytes.min(held.request);
        held.request -= bytes;
        self.0.budget.shrink(self.0.id, bytes);
    }

    /// Returns whether no request is being received or served.
    pub fn is_between_requests(&self) -> bool {
        matches!(lock(&self.0.held).phase, Phase::Head | Phase::Discard)
    }

    /// Waits until the connection is given up for others.
    pub async fn given_up(&self) {
        let mut given_up = self.0.given_up.clone();
        if given_up.wait_for(|given_up| *given_up).await.is_err() {
            // The account was closed otherwise.
            std::future::pending::<()>().await;
        }
    }
}
