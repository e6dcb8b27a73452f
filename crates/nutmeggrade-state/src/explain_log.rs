//! Log of the decisions about recent requests.

use std::collections::{BTreeMap, VecDeque};

use nutmeggrade_core::prelude::*;

/// Maximum total size of all records in bytes, as counted by [`ExplainLog::bytes`].
pub const MAX_BYTES: usize = 8 << 20;
/// Maximum number of steps per request; further ones replace those in the middle.
pub const MAX_STEPS: usize = 64;
/// Maximum length of a step's detail, in bytes.
pub const MAX_DETAIL_BYTES: usize = 240;

/// Generous estimates of the bytes of a step without its detail and of a record without its steps.
const STEP_BYTES: usize = 128;
const RECORD_BYTES: usize = 512;

/// One decision about a request, with the numbers it was based on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// Time of the decision.
    pub at: Moment,
    /// Name of the decision.
    pub step: &'static str,
    /// The numbers, as key=value.
    pub detail: String,
}

/// The decisions about one request, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// The decisions that are kept.
    pub steps: Vec<Step>,
    /// Number of steps that were dropped from the middle.
    pub dropped: u64,
}

impl Record {
    fn bytes(&self) -> usize {
        let steps = self.steps.iter().map(|s| STEP_BYTES + s.detail.len());
        RECORD_BYTES + steps.sum::<usize>()
    }

    fn push(&mut self, step: Step) {
        if self.steps.len() >= MAX_STEPS {
            self.steps.remove(MAX_STEPS / 2);
            self.dropped += 1;
        }
        self.steps.push(step);
    }
}

/// Log of the decisions about the latest requests, with a fixed maximum size.
///
/// Operators ask about a request minutes after it failed. An unbounded log would grow with the
/// traffic until the instance is killed for its memory use, so the oldest requests are dropped
/// first, and a caller that repeats one id or sends a long error fills no more than its share.
#[derive(Debug)]
pub struct ExplainLog {
    records: BTreeMap<RequestId, Record>,
    order: VecDeque<RequestId>,
    bytes: usize,
    limit: usize,
}

impl Default for ExplainLog {
    fn default() -> Self {
        Self::new(MAX_BYTES)
    }
}

impl ExplainLog {
    /// Creates an empty log of at most `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self { records: BTreeMap::new(), order: VecDeque::new(), bytes: 0, limit }
    }

    /// Adds a step to a request's record.
    pub fn note(&mut self, request: &RequestId, step: &'static str, detail: &str, now: Moment) {
        let detail = truncate(detail).to_owned();
        if !self.records.contains_key(request) {
            self.order.push_back(request.clone());
            self.bytes += RECORD_BYTES;
        }
        let record = self.records.entry(request.clone()).or_default();
        let before = record.bytes();
        record.push(Step { at: now, step, detail });
        self.bytes = (self.bytes + record.bytes()).saturating_sub(before);
        while self.bytes > self.limit {
            self.evict_oldest();
        }
    }

    /// Returns the record of a request.
    pub fn get(&self, request: &RequestId) -> Option<&Record> {
        self.records.get(request)
    }

    /// Returns the number of requests in the log.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the log is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of the records in bytes.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            self.bytes = 0;
            return;
        };
        if let Some(record) = self.records.remove(&oldest) {
            self.bytes = self.bytes.saturating_sub(record.bytes());
        }
    }
}

fn truncate(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_DETAIL_BYTES)]
}
