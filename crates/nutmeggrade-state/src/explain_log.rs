//! What was decided about recent requests.

use std::collections::{BTreeMap, VecDeque};

use nutmeggrade_core::prelude::*;

/// Most bytes that all records may take together, counted by [`ExplainLog::bytes`].
pub const MAX_BYTES: usize = 8 << 20;
/// Most steps of one request; further ones push out those in the middle.
pub const MAX_STEPS: usize = 64;
/// Longest detail of a step, in bytes.
pub const MAX_DETAIL: usize = 240;

/// Bytes that a step takes beside its detail, and a record beside its steps; counted generously.
const STEP_BYTES: usize = 128;
const RECORD_BYTES: usize = 512;

/// One decision about a request with the numbers it was made on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Step {
    /// When it was made.
    pub at: Moment,
    /// What was decided.
    pub step: &'static str,
    /// The numbers, as key=value.
    pub detail: String,
}

/// The decisions about one request, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Record {
    /// What was decided.
    pub steps: Vec<Step>,
    /// Steps in the middle that were dropped.
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

/// Keeps the decisions about the latest requests within a fixed size.
///
/// Operators ask about a request minutes after it failed. A record without a bound would grow with
/// the traffic until the instance is killed for its memory, so the oldest requests are forgotten
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
    /// Makes an empty log that takes at most `limit` bytes.
    pub const fn new(limit: usize) -> Self {
        Self { records: BTreeMap::new(), order: VecDeque::new(), bytes: 0, limit }
    }

    /// Adds a step to a request's record.
    pub fn note(&mut self, request: &RequestId, step: &'static str, detail: &str, now: Moment) {
        let detail = cut(detail).to_owned();
        if !self.records.contains_key(request) {
            self.order.push_back(request.clone());
            self.bytes += RECORD_BYTES;
        }
        let record = self.records.entry(request.clone()).or_default();
        let before = record.bytes();
        record.push(Step { at: now, step, detail });
        self.bytes = (self.bytes + record.bytes()).saturating_sub(before);
        while self.bytes > self.limit {
            self.forget_oldest();
        }
    }

    /// Returns what is known of a request.
    pub fn get(&self, request: &RequestId) -> Option<&Record> {
        self.records.get(request)
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Says whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the bytes that the records take.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            self.bytes = 0;
            return;
        };
        if let Some(record) = self.records.remove(&oldest) {
            self.bytes = self.bytes.saturating_sub(record.bytes());
        }
    }
}

fn cut(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_DETAIL)]
}
