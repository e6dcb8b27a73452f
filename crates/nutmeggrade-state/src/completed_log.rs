//! Requests that endpoints completed recently.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmeggrade_core::peer::Fingerprint;
use nutmeggrade_core::prelude::*;

/// Time after which the newer half becomes the older one.
const HALF_PERIOD: Duration = Duration::from_mins(2);
/// Maximum number of requests in each half, some 100 KB.
const MAX_HALF: usize = 4_096;

/// Requests that endpoints completed within the last minutes, in two halves: the older one is
/// dropped as a whole, so that nothing is stored of the time of each request.
#[derive(Debug, Default)]
pub struct CompletedLog {
    newer: BTreeSet<Fingerprint>,
    older: BTreeSet<Fingerprint>,
    newer_since: Moment,
}

impl CompletedLog {
    /// Records that a request was completed.
    pub fn note(&mut self, request: &Fingerprint, now: Moment) {
        if self.newer.len() >= MAX_HALF || now.since(self.newer_since) > HALF_PERIOD {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        self.newer.insert(*request);
    }

    /// Returns whether a request was completed recently.
    pub fn contains(&self, request: &Fingerprint) -> bool {
        self.newer.contains(request) || self.older.contains(request)
    }
}
