//! Counters of calls to the platform.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::Traffic;

/// Counters of calls to the platform by kind, and of their bytes.
#[derive(Debug, Default)]
pub struct CallCounters {
    calls: Mutex<BTreeMap<&'static str, u64>>,
    sent: AtomicU64,
    received: AtomicU64,
}

impl CallCounters {
    /// Creates counters at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one call.
    pub fn count(&self, kind: &'static str) {
        if let Ok(mut calls) = self.calls.lock() {
            *calls.entry(kind).or_default() += 1;
        }
    }

    /// Counts the bytes of a request.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts the bytes of a response.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes sent and received.
    pub fn traffic(&self) -> Traffic {
        let sent = self.sent.load(Ordering::Relaxed);
        Traffic { sent, received: self.received.load(Ordering::Relaxed) }
    }

    /// Returns the number of calls by kind.
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.calls.lock().map(|c| c.clone()).unwrap_or_default()
    }
}
