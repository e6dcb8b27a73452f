//! The share of the platform's call rate that one process may use.

use std::collections::BTreeMap;
use std::sync::Mutex;

/// Counts calls to the platform by kind.
#[derive(Debug, Default)]
pub struct Budget {
    calls: Mutex<BTreeMap<&'static str, u64>>,
}

impl Budget {
    /// Makes a count of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts one call.
    pub fn count(&self, kind: &'static str) {
        if let Ok(mut calls) = self.calls.lock() {
            *calls.entry(kind).or_default() += 1;
        }
    }

    /// Returns the calls made so far, by kind.
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.calls.lock().map(|c| c.clone()).unwrap_or_default()
    }
}
