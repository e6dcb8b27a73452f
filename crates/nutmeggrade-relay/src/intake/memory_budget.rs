//! The memory that all clients of an instance may hold together.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use nutmeggrade_policy::intake::{ClientMemory, HolderId, ListenerId, MemoryFull};
use tokio::sync::watch;

use super::connection_memory::ConnectionMemory;
use super::log_limiter::LogLimiter;
use super::memory_metrics::MemoryMetrics;
use crate::clock::Clock;
use crate::tables::lock;

/// Share of the instance's memory that clients may hold, as a divisor. The rest is for the program, its
/// tables and the buffers of endpoints and peers.
const CLIENT_SHARE_DIVISOR: usize = 2;
/// What a request of the largest size needs while its buffer grows, as a multiple of its body.
const LARGEST_REQUEST_FACTOR: usize = 3;

/// The memory that all clients of an instance may hold together.
#[derive(Debug)]
pub struct MemoryBudget {
    accounts: Mutex<Accounts>,
    clock: Clock,
    metrics: MemoryMetrics,
}

#[derive(Debug)]
struct Accounts {
    memory: ClientMemory,
    /// Tells a connection that it was given up.
    given_up: BTreeMap<HolderId, watch::Sender<bool>>,
    full_log: LogLimiter,
    refused_log: LogLimiter,
}

impl MemoryBudget {
    /// Creates a budget from the memory of the instance and the size of the largest body, in bytes.
    pub fn new(memory: usize, body: usize, clock: Clock, metrics: MemoryMetrics) -> Self {
        let accounts = Accounts {
            memory: ClientMemory::new(0),
            given_up: BTreeMap::new(),
            full_log: LogLimiter::default(),
            refused_log: LogLimiter::default(),
        };
        let budget = Self { accounts: Mutex::new(accounts), clock, metrics };
        budget.set_limits(memory, body);
        budget
    }

    /// Sets the memory of the instance and the size of the largest body, in bytes. A single request of
    /// that size always fits.
    pub fn set_limits(&self, memory: usize, body: usize) {
        let share = memory / CLIENT_SHARE_DIVISOR;
        let limit = share.max(body.saturating_mul(LARGEST_REQUEST_FACTOR));
        self.metrics.limit.set(i64::try_from(limit).unwrap_or(i64::MAX));
        lock(&self.accounts).memory.set_limit(limit);
    }

    /// Adds a listener.
    pub(super) fn add_listener(&self) -> ListenerId {
        lock(&self.accounts).memory.add_listener()
    }

    /// Opens the account of a new connection, which holds `bytes`; `None` if the memory is full.
    pub(super) fn connect(
        self: &Arc<Self>,
        listener: ListenerId,
        bytes: usize,
    ) -> Option<ConnectionMemory> {
        let mut accounts = lock(&self.accounts);
        let Ok((id, stalled)) = accounts.memory.open(listener, bytes, self.clock.now()) else {
            self.note_refusal(&mut accounts, "connection");
            return None;
        };
        self.give_up(&mut accounts, &stalled);
        let sender = watch::Sender::new(false);
        let given_up = sender.subscribe();
        accounts.given_up.insert(id, sender);
        self.show_used(&accounts);
        drop(accounts);
        Some(ConnectionMemory::new(self, id, given_up))
    }

    /// Records that a connection is refused because `most` are open.
    pub(super) fn note_connection_limit(&self, most: usize) {
        self.metrics.refused.with_label_values(&["descriptor"]).inc();
        if let Some(times) = lock(&self.accounts).refused_log.take(self.clock.now()) {
            tracing::warn!(event = "connection_refused", most, times);
        }
    }

    /// Gives up the listener's connection that has waited for its client the longest; returns whether
    /// there is one.
    pub(super) fn give_up_longest_wait(&self, listener: ListenerId) -> bool {
        let mut accounts = lock(&self.accounts);
        let id = accounts.memory.give_up_longest_wait(listener, self.clock.now());
        self.give_up(&mut accounts, id.as_slice());
        id.is_some()
    }

    /// Adds bytes to what a connection holds, for a purpose that the metrics name.
    pub(super) fn grow(&self, id: HolderId, bytes: usize, purpose: &str) -> Result<(), MemoryFull> {
        let mut accounts = lock(&self.accounts);
        let grown = accounts.memory.grow(id, bytes, self.clock.now());
        match &grown {
            Ok(stalled) => self.give_up(&mut accounts, stalled),
            Err(MemoryFull) => self.note_refusal(&mut accounts, purpose),
        }
        grown.map(drop)
    }

    /// Subtracts bytes from what a connection holds.
    pub(super) fn shrink(&self, id: HolderId, bytes: usize) {
        let mut accounts = lock(&self.accounts);
        accounts.memory.shrink(id, bytes);
        self.show_used(&accounts);
    }

    /// Records received bytes of a request.
    pub(super) fn receive(&self, id: HolderId, bytes: usize) {
        if let Some(holder) = lock(&self.accounts).memory.holder_mut(id) {
            holder.receive(bytes, self.clock.now());
        }
    }

    /// Records that the head of a request was received.
    pub(super) fn begin_body(&self, id: HolderId) {
        if let Some(holder) = lock(&self.accounts).memory.holder_mut(id) {
            holder.begin_request(self.clock.now());
        }
    }

    /// Records that a request was received.
    pub(super) fn begin_response(&self, id: HolderId) {
        if let Some(holder) = lock(&self.accounts).memory.holder_mut(id) {
            holder.begin_response();
        }
    }

    /// Subtracts the bytes of a request whose response has ended.
    pub(super) fn end_response(&self, id: HolderId, bytes: usize) {
        let mut accounts = lock(&self.accounts);
        accounts.memory.shrink(id, bytes);
        if let Some(holder) = accounts.memory.holder_mut(id) {
            holder.end_response(self.clock.now());
        }
        self.show_used(&accounts);
    }

    /// Closes the account of a connection.
    pub(super) fn close(&self, id: HolderId) {
        let mut accounts = lock(&self.accounts);
        accounts.memory.close(id);
        accounts.given_up.remove(&id);
        self.show_used(&accounts);
    }

    fn give_up(&self, accounts: &mut Accounts, ids: &[HolderId]) {
        for id in ids {
            if let Some(sender) = accounts.given_up.remove(id) {
                sender.send_replace(true);
                self.metrics.given_up.inc();
            }
        }
        if !ids.is_empty() {
            self.log(accounts);
        }
        self.show_used(accounts);
    }

    fn note_refusal(&self, accounts: &mut Accounts, purpose: &str) {
        self.metrics.refused.with_label_values(&[purpose]).inc();
        self.log(accounts);
    }

    /// Logs that memory is short, at most once in an interval.
    fn log(&self, accounts: &mut Accounts) {
        let Some(times) = accounts.full_log.take(self.clock.now()) else { return };
        tracing::warn!(
            event = "client_memory_full",
            used = accounts.memory.used(),
            limit = accounts.memory.limit(),
            connections = accounts.given_up.len(),
            times
        );
    }

    fn show_used(&self, accounts: &Accounts) {
        self.metrics.used.set(i64::try_from(accounts.memory.used()).unwrap_or(i64::MAX));
    }
}
