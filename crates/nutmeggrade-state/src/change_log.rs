//! Recent changes of endpoints, for peers that missed some of them.

use std::collections::VecDeque;

use nutmeggrade_core::peer::{EndpointChange, EndpointChanges, EndpointUpdateBatch};

/// Recent changes of endpoints, for peers that missed some of them.
///
/// Without it a peer that misses one batch fetches all endpoints: with 10,000 of them that is some
/// hundred kilobytes for each instance, and all instances miss a batch that does not fit into a
/// datagram at the same moment.
#[derive(Debug, Default)]
pub struct ChangeLog {
    batches: VecDeque<EndpointUpdateBatch>,
    change_count: usize,
}

impl ChangeLog {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the next changes. Changes before a gap are dropped, and so are the oldest ones beyond
    /// `max_changes`.
    pub fn push(&mut self, batch: EndpointUpdateBatch, max_changes: usize) {
        let newest = self.batches.back().map(|last| last.revision);
        if newest.is_some_and(|revision| batch.revision <= revision) {
            return;
        }
        if newest.is_some_and(|revision| batch.since > revision) {
            self.clear();
        }
        self.change_count += batch.changes.len();
        self.batches.push_back(batch);
        while self.change_count > max_changes
            && let Some(oldest) = self.batches.pop_front()
        {
            self.change_count -= oldest.changes.len();
        }
    }

    /// Drops all changes, as after a listing that does not tell what changed.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.change_count = 0;
    }

    /// Returns the changes after a revision, or `None` if they are not known completely.
    pub fn since(&self, revision: u64) -> Option<EndpointUpdateBatch> {
        let mut missed = self.batches.iter().skip_while(|b| b.revision <= revision).peekable();
        let since = missed.peek().map(|first| first.since).filter(|since| *since <= revision)?;
        let (mut newest, mut lapses) = (since, false);
        let mut changes: Vec<EndpointChange> = Vec::new();
        for batch in missed {
            newest = batch.revision;
            lapses |= batch.lapses;
            changes.extend(batch.changes.iter());
        }
        let changes = EndpointChanges::new(changes);
        Some(EndpointUpdateBatch { since, revision: newest, lapses, changes })
    }
}
