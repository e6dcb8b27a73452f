//! Accounts of the memory that clients' connections hold.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

use super::holder::{Holder, HolderId, ListenerId};

/// Largest size of a small holder: a connection with an ordinary request.
const SMALL_BYTES: usize = 64 << 10;
/// Share of the limit that large holders leave to small ones, as a divisor. A few large bodies would
/// otherwise keep out all ordinary requests.
const SMALL_SHARE_DIVISOR: usize = 4;
/// Share of the limit that requests leave to new connections, as a divisor. Incomplete heads would
/// otherwise keep out everybody, readiness checks too.
const CONNECTION_SHARE_DIVISOR: usize = 16;
/// Time without progress after which an incomplete request may be given up for others: longer than a
/// lost packet delays a client.
const MAX_STALL: Duration = Duration::from_secs(1);
/// Wait for a client after which its connection may be closed for a new one.
const MAX_CLIENT_WAIT: Duration = Duration::from_millis(500);

/// Error of a connection that would need more memory than there is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryFull;

impl fmt::Display for MemoryFull {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("clients hold as much memory as they may hold together")
    }
}

impl std::error::Error for MemoryFull {}

/// Accounts of the memory that clients' connections hold, against one limit for all.
///
/// Limits on each request don't bound what many clients hold at the same time, and an instance that runs
/// out of memory is killed. Over the limit, what asks for more is refused, unless stalled requests can be
/// given up: a crowd that stays open would keep out all others. Complete requests are never given up.
#[derive(Debug)]
pub struct ClientMemory {
    holders: BTreeMap<HolderId, Holder>,
    limit: usize,
    used: usize,
    next_id: u64,
    listeners: u32,
}

impl ClientMemory {
    /// Creates accounts with a limit in bytes.
    pub const fn new(limit: usize) -> Self {
        Self { holders: BTreeMap::new(), limit, used: 0, next_id: 0, listeners: 0 }
    }

    /// Sets the limit in bytes. What is held beyond it stays.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Returns the limit in bytes.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that are held.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Adds a listener.
    pub const fn add_listener(&mut self) -> ListenerId {
        self.listeners += 1;
        ListenerId(self.listeners)
    }

    /// Opens the account of a connection that holds `bytes`; returns its id and the connections that
    /// have to be given up for it, whose accounts are closed.
    ///
    /// # Errors
    ///
    /// Fails if the memory is full.
    pub fn open(
        &mut self,
        listener: ListenerId,
        bytes: usize,
        now: Moment,
    ) -> Result<(HolderId, Vec<HolderId>), MemoryFull> {
        let id = HolderId(self.next_id);
        let given_up = self.make_room(id, bytes, self.limit, now)?;
        self.next_id += 1;
        self.used += bytes;
        self.holders.insert(id, Holder::new(listener, bytes, now));
        Ok((id, given_up))
    }

    /// Closes an account. A connection that was given up has none.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
        }
    }

    /// Returns the holder with an id, unless it was given up.
    pub fn holder_mut(&mut self, id: HolderId) -> Option<&mut Holder> {
        self.holders.get_mut(&id)
    }

    /// Adds bytes to what a connection holds; returns the connections that have to be given up for it,
    /// whose accounts are closed.
    ///
    /// # Errors
    ///
    /// Fails if the memory is full, or if the connection was given up.
    pub fn grow(
        &mut self,
        id: HolderId,
        bytes: usize,
        now: Moment,
    ) -> Result<Vec<HolderId>, MemoryFull> {
        let holder = self.holders.get(&id).ok_or(MemoryFull)?;
        let is_small = holder.bytes + bytes <= SMALL_BYTES;
        let divisor = if is_small { CONNECTION_SHARE_DIVISOR } else { SMALL_SHARE_DIVISOR };
        let given_up = self.make_room(id, bytes, self.limit - self.limit / divisor, now)?;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += bytes;
            self.used += bytes;
        }
        Ok(given_up)
    }

    /// Subtracts bytes from what a connection holds.
    pub fn shrink(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let bytes = bytes.min(holder.bytes);
            holder.bytes -= bytes;
            self.used -= bytes;
        }
    }

    /// Closes the account of the listener's connection that has waited for its client the longest, and
    /// returns it; `None` if none has waited long enough.
    pub fn give_up_longest_wait(&mut self, listener: ListenerId, now: Moment) -> Option<HolderId> {
        let own = self.holders.iter().filter(|(_, holder)| holder.listener == listener);
        let waits = own.filter_map(|(id, holder)| Some((holder.client_wait(now)?, *id)));
        let (_, id) = waits.filter(|(wait, _)| *wait >= MAX_CLIENT_WAIT).max()?;
        self.close(id);
        Some(id)
    }

    /// Gives up stalled requests of other connections, the largest first, until `bytes` more fit into
    /// `limit`.
    fn make_room(
        &mut self,
        id: HolderId,
        bytes: usize,
        limit: usize,
        now: Moment,
    ) -> Result<Vec<HolderId>, MemoryFull> {
        let mut excess = (self.used + bytes).saturating_sub(limit);
        if excess == 0 {
            return Ok(Vec::new());
        }
        let is_stalled =
            |holder: &Holder| holder.request_stall(now).is_some_and(|stall| stall >= MAX_STALL);
        let others = self.holders.iter().filter(|(other, h)| **other != id && is_stalled(h));
        let mut others: Vec<_> = others.map(|(other, h)| (h.bytes, *other)).collect();
        others.sort_unstable_by(|a, b| b.cmp(a));
        let mut given_up = Vec::new();
        for (held, other) in others {
            given_up.push(other);
            excess = excess.saturating_sub(held);
            if excess == 0 {
                for other in &given_up {
                    self.close(*other);
                }
                return Ok(given_up);
            }
        }
        Err(MemoryFull)
    }
}
