//! Revisions of the store whose changes were read.

use std::collections::BTreeSet;

/// Revisions of the store whose changes were read.
///
/// The store counts the changes of all kinds of objects with one revision. If it reports a revision
/// and no response has brought the change, the watch of some kind has missed it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SeenRevisions {
    /// Revision up to which all kinds were read.
    complete: u64,
    /// Later revisions whose changes were read.
    later: BTreeSet<u64>,
}

impl SeenRevisions {
    /// Records the revisions of changes that were read.
    pub fn insert(&mut self, revisions: impl IntoIterator<Item = u64>) {
        self.later.extend(revisions.into_iter().filter(|r| *r > self.complete));
        self.advance();
    }

    /// Records that all kinds were read up to a revision.
    pub fn complete_up_to(&mut self, revision: u64) {
        self.complete = self.complete.max(revision);
        self.later = self.later.split_off(&self.complete);
        self.later.remove(&self.complete);
        self.advance();
    }

    /// Returns whether a change up to the revision that the store reports was not read.
    pub const fn misses(&self, reported: u64) -> bool {
        self.complete < reported
    }

    /// Moves the revisions that follow without a gap to the complete ones.
    fn advance(&mut self) {
        while let Some(next) = self.complete.checked_add(1)
            && self.later.remove(&next)
        {
            self.complete = next;
        }
    }
}
