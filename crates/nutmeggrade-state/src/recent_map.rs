//! Map of what happened within the last minutes.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmeggrade_core::prelude::*;

/// Map that keeps an entry for at least one period after it was last inserted, and for two at most.
///
/// There are two halves, of which the older one is dropped as a whole. A half that is full ends its
/// period early, which bounds the memory.
#[derive(Debug)]
pub struct RecentMap<K, V> {
    period: Duration,
    max_half: usize,
    newer: BTreeMap<K, V>,
    older: BTreeMap<K, V>,
    newer_since: Moment,
}

impl<K: Ord, V> RecentMap<K, V> {
    /// Creates an empty map with at most `max_half` entries in each half.
    pub const fn new(period: Duration, max_half: usize) -> Self {
        Self {
            period,
            max_half,
            newer: BTreeMap::new(),
            older: BTreeMap::new(),
            newer_since: Moment::ZERO,
        }
    }

    /// Inserts an entry, or replaces it.
    pub fn insert(&mut self, key: K, value: V, now: Moment) {
        if self.newer.len() >= self.max_half || now.since(self.newer_since) > self.period {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = now;
        }
        self.newer.insert(key, value);
    }

    /// Returns the last value of an entry.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.newer.get(key).or_else(|| self.older.get(key))
    }

    /// Returns the number of entries in both halves.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.newer.is_empty() && self.older.is_empty()
    }
}
